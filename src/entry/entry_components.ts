import {RequestLimiter} from '../decisions/admission/request_limiter.js';
import {ServiceRouter} from '../decisions/routing/service_router.js';
import {ConfirmingStore} from '../backends/confirming_store.js';
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

/** The components that all others depend on. */
interface BaseComponents {
  readonly settings: SettingsView;
  readonly settling: ConfirmingStore;
  readonly agents: AgentDirectory;
  readonly router: ServiceRouter;
  readonly limiter: RequestLimiter;
  readonly membership: EntryMembership;
  readonly entries: KnownEntries;
}

/** The components that own shards and reach those of other entries. */
interface ShardComponents {
  readonly shards: ShardManager;
  readonly access: ShardAccess;
  readonly recorder: ReportRecorder;
}

/** The components that keep settings up to date and log alarms. */
interface SettingsComponents {
  readonly branches: SettingsBranchesStore;
  readonly statuses: ProcessStatuses;
  readonly alarms: EntryAlarms;
  readonly follower: SettingsFollower;
  readonly peers: PeerExchange;
}

/** The components that answer agents and callers. */
interface RequestComponents {
  readonly heartbeats: HeartbeatResponder;
  readonly forwarder: RequestForwarder;
}

/** The components of an entry. */
export type EntryComponents = BaseComponents &
  ShardComponents &
  SettingsComponents &
  RequestComponents;

/** Creates the components of an entry; none does anything until called. */
export function createEntryComponents(
  options: EntryProcessOptions,
): EntryComponents {
  const base = createBaseComponents(options);
  const shardComponents = createShardComponents(options, base);
  const settingsComponents = createSettingsComponents(
    options,
    base,
    shardComponents.shards,
  );
  const requestComponents = createRequestComponents(
    options,
    base,
    shardComponents.shards,
  );
  return {
    ...base,
    ...shardComponents,
    ...settingsComponents,
    ...requestComponents,
  };
}

function createBaseComponents(options: EntryProcessOptions): BaseComponents {
  const {record, store, clock, random, links} = options;
  const membership = new EntryMembership(options);
  return {
    settings: new SettingsView(),
    settling: new ConfirmingStore({store, clock, random}),
    agents: new AgentDirectory(links),
    router: new ServiceRouter({
      ownFailureDomain: record.failureDomain,
      random,
    }),
    limiter: new RequestLimiter(),
    membership,
    entries: new KnownEntries(record, membership.registry),
  };
}

function createShardComponents(
  options: EntryProcessOptions,
  base: BaseComponents,
): ShardComponents {
  const {record, shardCount, store, links, clock, random, logger} = options;
  const {entryId} = record;
  const {settings, settling, agents, membership} = base;
  const {claims, registry, lease} = membership;
  const dispatcher = new AttemptDispatcher(agents, settings, clock, logger);
  const {outageGraceMillis = DEFAULT_OUTAGE_GRACE_MILLIS} = options;
  const shards = new ShardManager({
    entryId,
    shardCount,
    store,
    settling,
    settings,
    claims,
    registry,
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
      registry,
      links,
    }),
    recorder: new ReportRecorder(owned, clock),
  };
}

function createSettingsComponents(
  options: EntryProcessOptions,
  base: BaseComponents,
  shards: ShardManager,
): SettingsComponents {
  const {record, store, links, clock, logger} = options;
  const {entryId} = record;
  const {settings, settling, agents, router, limiter, entries} = base;
  const {registry} = base.membership;
  const statuses = new ProcessStatuses(
    entryId,
    settings,
    agents,
    peer => registry.find(peer)?.stopping === false,
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

function createRequestComponents(
  options: EntryProcessOptions,
  base: BaseComponents,
  shards: ShardManager,
): RequestComponents {
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
