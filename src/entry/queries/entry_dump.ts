import type {EntryComponents} from '../entry_components.js';
import type {EntryProcessOptions} from '../entry_process_options.js';

/** Returns the state of an entry, for operators. */
export function dumpEntry(
  options: EntryProcessOptions,
  parts: EntryComponents,
): unknown {
  const {record, clock, store} = options;
  const {settings, membership, router, entries} = parts;
  const now = clock.now();
  return {
    process: record,
    role: 'entry',
    stopping: membership.isStopping,
    storeLeaseHolds: membership.lease.isValid(),
    settings: {
      revision: settings.revision,
      confirmedAgeMillis: settings.confirmedAgeMillis(now),
      branches: settings.branches(),
    },
    entries: entries.all(now),
    shards: dumpShards(parts, now),
    agents: dumpAgents(parts, now),
    routing: router.dump(now),
    storeCalls: 'counts' in store ? (store.counts as () => unknown)() : {},
    memory: process.memoryUsage(),
  };
}

function dumpShards({shards}: EntryComponents, now: number): readonly object[] {
  return [...shards.owned.values()].map(owner => ({
    shard: owner.shard,
    epoch: owner.epoch,
    commits: owner.commitCount,
    ...owner.scheduler.counts(),
    quarantinedVms: owner.scheduler.quarantinedVms(now),
  }));
}

function dumpAgents({agents}: EntryComponents, now: number): readonly object[] {
  return [...agents.all()].map(agent => ({
    agentId: agent.agentId,
    silentMillis: Math.round(now - agent.lastHeartbeatAt),
    heartbeat: agent.heartbeat,
  }));
}
