import {mergeArray} from 'most';
import {RequestLimiter} from '../decisions/admission/request_limiter.js';
import {ServiceRouter} from '../decisions/routing/service_router.js';
import {Events} from '../observability/events.js';
import type {Logger} from '../observability/logger.js';
import type {Metrics} from '../observability/metrics.js';
import {SettlingStore} from '../platform/settling_store.js';
import type {Store} from '../platform/store.js';
import type {
  ExchangePeersReply,
  ExchangePeersRequest,
  ForwardCallReply,
  ForwardCallRequest,
  HeartbeatReply,
  HeartbeatRequest,
  ReportAttemptsReply,
  ReportAttemptsRequest,
} from '../protocol/generated/burdockmoor.js';
import type {EntryHandlers, LinkFactory} from '../protocol/links.js';
import {SettingsView} from '../settings/settings_view.js';
import {messageOf} from '../utilities/base_error.js';
import type {Clock} from '../utilities/clock.js';
import {Ticker} from '../utilities/event_source.js';
import type {Random} from '../utilities/random.js';
import {AgentDirectory} from './agents/agent_directory.js';
import {HeartbeatResponder} from './agents/heartbeat_responder.js';
import {ReportRecorder} from './agents/report_recorder.js';
import {EntryAlarms} from './alarms/entry_alarms.js';
import {JobCommands} from './commands/job_commands.js';
import {SettingsCommands} from './commands/settings_commands.js';
import {ApiRouter} from './http/api_router.js';
import {decodeSegments} from './http/api_server.js';
import {answerOfError} from './http/api_types.js';
import type {ApiAnswer, ApiCall} from './http/api_types.js';
import {EntryRoster} from './membership/entry_roster.js';
import type {EntryRecord} from './membership/entry_roster.js';
import {PeerExchange} from './membership/peer_exchange.js';
import {ProcessStatuses} from './membership/process_statuses.js';
import {StoreLeaseKeeper} from './membership/store_lease_keeper.js';
import {JobQueries} from './queries/job_queries.js';
import {OperatorQueries} from './queries/operator_queries.js';
import {readCallerRequest} from './requests/caller_request_reader.js';
import {RequestForwarder} from './requests/request_forwarder.js';
import {RequestMetrics} from './requests/request_metrics.js';
import {ServiceLimits} from './requests/service_limits.js';
import {SettingsBranchesStore} from './settings_branches_store.js';
import {SettingsFollower} from './settings_follower.js';
import {AttemptDispatcher} from './shards/attempt_dispatcher.js';
import {ShardAccess} from './shards/shard_access.js';
import {ShardClaims} from './shards/shard_claims.js';
import {ShardManager} from './shards/shard_manager.js';

const SETTINGS_PERIOD_MILLIS = 1_000;
const MEMBERSHIP_PERIOD_MILLIS = 1_000;
const DECIDE_PERIOD_MILLIS = 50;
const HOUSEKEEPING_PERIOD_MILLIS = 1_000;
const DEFAULT_OUTAGE_GRACE_MILLIS = 90_000;

/** What wakes the entry's loop. */
const EntryTick = {
  LEASE: 'lease',
  SETTINGS: 'settings',
  MEMBERSHIP: 'membership',
  DECIDE: 'decide',
  HOUSEKEEPING: 'housekeeping',
} as const;
type EntryTick = (typeof EntryTick)[keyof typeof EntryTick];

export interface EntryProcessOptions {
  readonly record: EntryRecord;
  readonly shardCount: number;
  /** Within its budget of calls. */
  readonly store: Store;
  readonly links: LinkFactory;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly outageGraceMillis?: number;
}

/**
 * One entry: answers callers, operators, agents and other entries. All it
 * holds can be rebuilt from the store and the agents.
 */
export class EntryProcess implements EntryHandlers {
  private readonly settings = new SettingsView();
  private readonly api = new ApiRouter();
  private readonly agents: AgentDirectory;
  private readonly router: ServiceRouter;
  private readonly limiter = new RequestLimiter();
  private readonly limits = new ServiceLimits(this.limiter);
  private readonly roster: EntryRoster;
  private readonly claims: ShardClaims;
  private readonly lease: StoreLeaseKeeper;
  private readonly shards: ShardManager;
  private readonly access: ShardAccess;
  private readonly follower: SettingsFollower;
  private readonly peers: PeerExchange;
  private readonly statuses: ProcessStatuses;
  private readonly heartbeats: HeartbeatResponder;
  private readonly recorder: ReportRecorder;
  private readonly forwarder: RequestForwarder;
  private readonly alarms: EntryAlarms;
  private readonly tickers: ReadonlyArray<Ticker<EntryTick>>;
  private registering = false;
  private refreshing = false;
  private stopping = false;

  constructor(private readonly options: EntryProcessOptions) {
    const {store, clock, random, logger, links, metrics, record} = options;
    const {entryId} = record;
    const settling = new SettlingStore({store, clock, random});
    const branches = new SettingsBranchesStore(store, settling, clock);
    this.agents = new AgentDirectory(links);
    this.router = new ServiceRouter({
      ownFailureDomain: record.failureDomain,
      random,
    });
    this.roster = new EntryRoster(store);
    this.claims = new ShardClaims(store, entryId, options.shardCount);
    this.lease = new StoreLeaseKeeper(store, clock, logger, {
      onLeaseGranted: () => void this.register(),
      onLeaseLost: () => this.claims.forgetOwn(),
    });
    this.shards = new ShardManager({
      entryId,
      shardCount: options.shardCount,
      store,
      settling,
      settings: this.settings,
      claims: this.claims,
      roster: this.roster,
      lease: this.lease,
      agents: this.agents,
      dispatcher: new AttemptDispatcher(
        this.agents,
        this.settings,
        clock,
        logger,
      ),
      clock,
      random,
      logger,
      outageGraceMillis:
        options.outageGraceMillis ?? DEFAULT_OUTAGE_GRACE_MILLIS,
    });
    this.access = new ShardAccess({
      entryId,
      shardCount: options.shardCount,
      owned: this.shards.owned,
      claims: this.claims,
      roster: this.roster,
      links,
    });
    this.follower = new SettingsFollower(
      store,
      this.settings,
      clock,
      logger,
      () => this.applySettings(),
    );
    this.statuses = new ProcessStatuses(
      entryId,
      this.settings,
      this.agents,
      peer => this.roster.find(peer)?.stopping === false,
    );
    this.peers = new PeerExchange({
      entryId,
      roster: this.roster,
      settings: this.settings,
      statuses: this.statuses,
      links,
      clock,
      apply: documents => this.follower.apply(documents),
    });
    this.heartbeats = new HeartbeatResponder({
      entryId,
      agents: this.agents,
      router: this.router,
      settings: this.settings,
      shards: this.shards,
      roster: this.roster,
      clock,
    });
    this.recorder = new ReportRecorder(this.shards.owned, clock);
    this.forwarder = new RequestForwarder(
      this.router,
      this.limiter,
      this.agents,
      clock,
      new RequestMetrics(metrics),
    );
    this.alarms = new EntryAlarms({
      agents: this.agents,
      router: this.router,
      statuses: this.statuses,
      shards: this.shards,
      settings: this.settings,
      logger,
    });
    this.tickers = this.createTickers();
    this.addRoutes(branches);
  }

  /** Begins to work; agents and callers may come before it has the store. */
  async start(): Promise<void> {
    const ticks = mergeArray(this.tickers.map(ticker => ticker.stream));
    void ticks.observe(tick => this.onTick(tick));
    for (const ticker of this.tickers) ticker.start();
    await this.lease.renew();
    await this.follower.refresh();
    await this.refreshMembership();
  }

  /** Whether all agents that are there have probably been heard. */
  knowsAgents(): boolean {
    const unchanged = this.agents.unchangedMillis(this.options.clock.now());
    return unchanged > this.settings.fleet.heartbeatMillis;
  }

  /** Graceful shutdown: hands over the shards, then leaves the roster. */
  async stop(reason: string): Promise<void> {
    const {logger} = this.options;
    logger.event(Events.PROCESS_STOPPING, {reason});
    this.stopping = true;
    await this.register();
    await this.shards.stop();
    for (const ticker of this.tickers) ticker.dispose();
    await this.lease
      .release()
      .catch((error: unknown) =>
        logger.event(Events.STORE_UNREACHABLE, {reason: messageOf(error)}),
      );
  }

  /** Closes links once nothing is served any more. */
  dispose(reason: string): void {
    this.access.close(reason);
    this.peers.close(reason);
    this.agents.close(reason);
  }

  /** Answers a call of the HTTP API; never rejects. */
  async call(call: ApiCall): Promise<ApiAnswer> {
    try {
      return await this.api.handle(call);
    } catch (error) {
      const answer = answerOfError(error);
      if (answer.status === 500) {
        const {logger} = this.options;
        const path = call.target;
        const reason = messageOf(error);
        logger.event(Events.UNEXPECTED_FAULT, {path, reason});
      }
      return answer;
    }
  }

  async heartbeat(request: HeartbeatRequest): Promise<HeartbeatReply> {
    return this.heartbeats.answer(request);
  }

  reportAttempts(request: ReportAttemptsRequest): Promise<ReportAttemptsReply> {
    return this.recorder.record(request);
  }

  async exchangePeers(
    request: ExchangePeersRequest,
  ): Promise<ExchangePeersReply> {
    return this.peers.answer(request);
  }

  async forwardCall(request: ForwardCallRequest): Promise<ForwardCallReply> {
    const answer = await this.callForwarded(request).catch(answerOfError);
    return {
      status: answer.status,
      headers: answer.headers.map(([name, value]) => ({name, value})),
      body: Buffer.from(answer.body),
    };
  }

  dumpState(): unknown {
    const {record, clock, store} = this.options;
    const now = clock.now();
    return {
      process: record,
      role: 'entry',
      stopping: this.stopping,
      storeLeaseHolds: this.lease.holds(),
      settings: {
        revision: this.settings.revision,
        confirmedAgeMillis: this.settings.confirmedAgeMillis(now),
        branches: this.settings.branches(),
      },
      entries: this.roster.all(),
      shards: [...this.shards.owned.values()].map(owner => ({
        shard: owner.shard,
        epoch: owner.epoch,
        commits: owner.commitCount,
        ...owner.scheduler.counts(),
        quarantinedVms: owner.scheduler.quarantinedVms(now),
      })),
      agents: [...this.agents.all()].map(agent => ({
        agentId: agent.agentId,
        silentMillis: Math.round(now - agent.heardAt),
        heartbeat: agent.heartbeat,
      })),
      routing: this.router.dump(now),
      storeCalls: 'counts' in store ? (store.counts as () => unknown)() : {},
      memory: process.memoryUsage(),
    };
  }

  /** Rejects with an ApiError when the path is badly encoded. */
  private async callForwarded(request: ForwardCallRequest): Promise<ApiAnswer> {
    const [path, queryText = ''] = request.path.split('?', 2);
    return this.call({
      method: request.method,
      target: request.path,
      segments: decodeSegments(path),
      query: new URLSearchParams(queryText),
      headers: new Map(request.headers.map(({name, value}) => [name, value])),
      body: request.body,
    });
  }

  private createTickers(): ReadonlyArray<Ticker<EntryTick>> {
    const {clock} = this.options;
    return [
      new Ticker<EntryTick>(
        clock,
        StoreLeaseKeeper.renewalPeriodMillis,
        EntryTick.LEASE,
      ),
      new Ticker<EntryTick>(clock, SETTINGS_PERIOD_MILLIS, EntryTick.SETTINGS),
      new Ticker<EntryTick>(
        clock,
        MEMBERSHIP_PERIOD_MILLIS,
        EntryTick.MEMBERSHIP,
      ),
      new Ticker<EntryTick>(clock, DECIDE_PERIOD_MILLIS, EntryTick.DECIDE),
      new Ticker<EntryTick>(
        clock,
        HOUSEKEEPING_PERIOD_MILLIS,
        EntryTick.HOUSEKEEPING,
      ),
    ];
  }

  private addRoutes(branches: SettingsBranchesStore): void {
    const {options, settings, access, api} = this;
    const {clock, metrics, record} = options;
    new JobCommands(access, settings, clock).addRoutes(api);
    new JobQueries(access).addRoutes(api);
    new SettingsCommands(branches, settings, options.logger, () =>
      this.follower.refresh(),
    ).addRoutes(api);
    new OperatorQueries({
      entryId: record.entryId,
      branches,
      settings,
      agents: this.agents,
      router: this.router,
      statuses: this.statuses,
      metrics,
      clock,
      dumpState: () => this.dumpState(),
    }).addRoutes(api);
    api.add('*', '/v1/services/:service/**', async (call, {service}) =>
      this.forwarder.forward(readCallerRequest(call, service, settings)),
    );
  }

  private onTick(tick: EntryTick): void {
    try {
      this.act(tick);
    } catch (error) {
      const reason = messageOf(error);
      this.options.logger.event(Events.UNEXPECTED_FAULT, {tick, reason});
    }
  }

  private act(tick: EntryTick): void {
    switch (tick) {
      case EntryTick.LEASE:
        return void this.lease.renew();
      case EntryTick.SETTINGS:
        return void this.follower.refresh();
      case EntryTick.MEMBERSHIP:
        return void this.refreshMembership();
      case EntryTick.DECIDE:
        return this.shards.decide();
      case EntryTick.HOUSEKEEPING:
        return this.keepHouse();
    }
  }

  private keepHouse(): void {
    const now = this.options.clock.now();
    for (const agent of this.agents.silent(now)) {
      this.router.removeUpstream(agent.agentId, 'it is silent', now);
    }
    this.agents.forgetLongSilent(now);
    this.alarms.check(now);
    void this.peers.exchange();
  }

  private async refreshMembership(): Promise<void> {
    if (this.refreshing) return;
    this.refreshing = true;
    try {
      if (!this.roster.registered) await this.register();
      await this.roster.refresh();
      await this.claims.refresh(this.options.clock.now());
    } catch {
      // The settings follower reports that the store can't be reached.
    } finally {
      this.refreshing = false;
    }
    await this.shards.rebalance();
  }

  private async register(): Promise<void> {
    const leaseId = this.lease.currentLeaseId;
    if (leaseId === undefined || this.registering) return;
    this.registering = true;
    try {
      const record = {...this.options.record, stopping: this.stopping};
      await this.roster.register(record, leaseId);
    } catch (error) {
      const reason = messageOf(error);
      this.options.logger.event(Events.REGISTRATION_FAILED, {reason});
    } finally {
      this.registering = false;
    }
  }

  private applySettings(): void {
    const {fleet} = this.settings;
    this.alarms.noteSettings();
    this.shards.applySettings();
    this.router.setAvoidedDomains(fleet.failureDomainsOut);
    this.router.setLimits(fleet);
    this.limits.apply(this.settings, this.options.clock.now());
  }
}
