import {RequestLimiter} from '../decisions/admission/request_limiter.js';
import {ServiceRouter} from '../decisions/routing/service_router.js';
import {SettlingStore} from '../backends/settling_store.js';
import {SettingsView} from '../settings/settings_view.js';
import {AgentDirectory} from './agents/agent_directory.js';
import {HeartbeatResponder} from './agents/heartbeat_responder.js';
import {ReportRecorder} from './agents/report_recorder.js';
import {EntryAlarms} from './alarms/entry_alarms.js';
import type {EntryProcessOptions} from './entry_process_options.js';
import {EntryMembership} from './membership/entry_membership.js';
import {KnownEntries} from './membership/known_entries.js';
import {PeerExchange} from './membership/peer_exchange.js';
import {ProcessStatuses} from './membership/process_statuses.js';
import {RequestForwarder} from './requests/request_forwarder.js';
import {RequestMetrics} from './requests/request_metrics.js';
import {ServiceLimits} from './requests/service_limits.js';
import {SettingsApplier} from './settings_applier.js';
import {SettingsBranchesStore} from './settings_branches_store.js';
import {SettingsFollower} from './settings_follower.js';
import {AttemptDispatcher} from './shards/attempt_dispatcher.js';
import {ShardAccess} from './shards/shard_access.js';
import {ShardManager} from './shards/shard_manager.js';

const DEFAULT_OUTAGE_GRACE_MILLIS = 90_000;

/** What all other parts build on. */
interface BaseParts {
  readonly settings: SettingsView;
  readonly settling: SettlingStore;
  readonly agents: AgentDirectory;
  readonly router: ServiceRouter;
  readonly limiter: RequestLimiter;
  readonly membership: EntryMembership;
  readonly entries: KnownEntries;
}

/** The parts that own shards and reach those of other entries. */
interface ShardParts {
  readonly shards: ShardManager;
  readonly access: ShardAccess;
  readonly recorder: ReportRecorder;
}

/** The parts that keep the settings in force and watch over the fleet. */
interface SettingsParts {
  readonly branches: SettingsBranchesStore;
  readonly statuses: ProcessStatuses;
  readonly alarms: EntryAlarms;
  readonly follower: SettingsFollower;
  readonly peers: PeerExchange;
}

/** The parts that answer agents and callers. */
interface ServingParts {
  readonly heartbeats: HeartbeatResponder;
  readonly forwarder: RequestForwarder;
}

/** The parts of an entry, each wired to those that it needs. */
export type EntryParts = BaseParts & ShardParts & SettingsParts & ServingParts;

/** Builds the parts of an entry; none of them works before it is called. */
export function createEntryParts(options: EntryProcessOptions): EntryParts {
  const base = createBaseParts(options);
  const shardParts = createShardParts(options, base);
  const settingsParts = createSettingsParts(options, base, shardParts.shards);
  const servingParts = createServingParts(options, base, shardParts.shards);
  return {...base, ...shardParts, ...settingsParts, ...servingParts};
}

function createBaseParts(options: EntryProcessOptions): BaseParts {
  const {record, store, clock, random, links} = options;
  const membership = new EntryMembership(options);
  return {
    settings: new SettingsView(),
    settling: new SettlingStore({store, clock, random}),
    agents: new AgentDirectory(links),
    router: new ServiceRouter({
      ownFailureDomain: record.failureDomain,
      random,
    }),
    limiter: new RequestLimiter(),
    membership,
    entries: new KnownEntries(record, membership.roster),
  };
}

function createShardParts(
  options: EntryProcessOptions,
  base: BaseParts,
): ShardParts {
  const {record, shardCount, store, links, clock, random, logger} = options;
  const {entryId} = record;
  const {settings, settling, agents, membership} = base;
  const {claims, roster, lease} = membership;
  const dispatcher = new AttemptDispatcher(agents, settings, clock, logger);
  const {outageGraceMillis = DEFAULT_OUTAGE_GRACE_MILLIS} = options;
  const shards = new ShardManager({
    entryId,
    shardCount,
    store,
    settling,
    settings,
    claims,
    roster,
    lease,
    agents,
    dispatcher,
    clock,
    random,
    logger,
    outageGraceMillis,
  });
  const {owned} = shards;
  return {
    shards,
    access: new ShardAccess({
      entryId,
      shardCount,
      owned,
      claims,
      roster,
      links,
    }),
    recorder: new ReportRecorder(owned, clock),
  };
}

function createSettingsParts(
  options: EntryProcessOptions,
  base: BaseParts,
  shards: ShardManager,
): SettingsParts {
  const {record, store, links, clock, logger} = options;
  const {entryId} = record;
  const {settings, settling, agents, router, limiter, entries} = base;
  const {roster} = base.membership;
  const statuses = new ProcessStatuses(
    entryId,
    settings,
    agents,
    peer => roster.find(peer)?.stopping === false,
  );
  const alarms = new EntryAlarms({
    agents,
    router,
    statuses,
    shards,
    settings,
    logger,
  });
  const limits = new ServiceLimits(limiter);
  const applier = new SettingsApplier({
    settings,
    alarms,
    shards,
    router,
    limits,
    clock,
  });
  const follower = new SettingsFollower(store, settings, clock, logger, () =>
    applier.apply(),
  );
  const peers = new PeerExchange({
    record,
    addresses: options.peerAddresses ?? [],
    entries,
    settings,
    statuses,
    links,
    clock,
    apply: documents => follower.apply(documents),
  });
  const branches = new SettingsBranchesStore(store, settling, clock);
  return {branches, statuses, alarms, follower, peers};
}

function createServingParts(
  options: EntryProcessOptions,
  base: BaseParts,
  shards: ShardManager,
): ServingParts {
  const {record, clock, metrics} = options;
  const {agents, router, limiter, settings, entries} = base;
  return {
    heartbeats: new HeartbeatResponder({
      entryId: record.entryId,
      agents,
      router,
      settings,
      shards,
      entries,
      clock,
    }),
    forwarder: new RequestForwarder(
      router,
      limiter,
      agents,
      clock,
      new RequestMetrics(metrics),
    ),
  };
}
