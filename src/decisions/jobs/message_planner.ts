import {Urgency} from '../../settings/settings_types.js';
import type {OpenAttempt} from './open_attempts.js';
import type {QueriesForVm, StartOrder, StartsForVm} from './scheduler_types.js';
import type {StopOrder, StopsForVm} from './scheduler_types.js';
import type {ShardState} from './shard_state.js';

/** Stops sent without an end reported, before the agent is queried. */
const STOPS_BEFORE_QUERY = 1;

/**
 * Selects the messages to send to agents now. Each message is resent with
 * exponential backoff until the agent's response settles it.
 */
export class MessagePlanner {
  constructor(private readonly state: ShardState) {}

  startsDue(now: number): StartsForVm[] {
    const due = new Map<string, StartsForVm>();
    for (const attempt of this.state.attempts.unsettled) {
      if (!attempt.awaitsStart || !attempt.starts.isDue(now)) continue;
      if (!this.hasRecentHeartbeat(attempt, now)) continue;
      const {vm, task} = attempt;
      let starts = due.get(vm);
      if (!starts) {
        starts = {vm, incarnation: task.incarnation, starts: []};
        due.set(vm, starts);
      }
      attempt.starts.sent(now);
      starts.starts.push(this.startOrder(attempt));
    }
    return [...due.values()];
  }

  stopsDue(now: number): StopsForVm[] {
    const due = new Map<string, StopsForVm>();
    for (const attempt of this.state.attempts.unsettled) {
      const reason = attempt.stopReason;
      if (reason === undefined || !attempt.stops.isDue(now)) continue;
      if (attempt.neverSent || !this.hasRecentHeartbeat(attempt, now)) continue;
      const stops = due.get(attempt.vm) ?? {vm: attempt.vm, stops: []};
      due.set(attempt.vm, stops);
      attempt.stops.sent(now);
      // An agent that never received the start has nothing to stop or report.
      if (attempt.stops.sends > STOPS_BEFORE_QUERY) attempt.queried = true;
      stops.stops.push(stopOrder(attempt, reason));
    }
    return [...due.values()];
  }

  queriesDue(now: number): QueriesForVm[] {
    const due = new Map<string, QueriesForVm>();
    for (const attempt of this.state.attempts.unsettled) {
      if (!attempt.queried || !attempt.queries.isDue(now)) continue;
      if (!this.hasRecentHeartbeat(attempt, now)) continue;
      const queries = due.get(attempt.vm) ?? {vm: attempt.vm, names: []};
      due.set(attempt.vm, queries);
      attempt.queries.sent(now);
      queries.names.push(attempt.name);
    }
    return [...due.values()];
  }

  private hasRecentHeartbeat(attempt: OpenAttempt, now: number): boolean {
    const vm = this.state.vms.get(attempt.vm);
    if (!vm) return false;
    return now - vm.lastHeartbeatAt <= this.state.limits.vmFreshMillis;
  }

  private startOrder(attempt: OpenAttempt): StartOrder {
    const {team, taskKind, urgency, payload, expectedRunMillis} =
      attempt.job.specification;
    const {learner} = this.state;
    return {
      name: attempt.name,
      kind: taskKind,
      size: attempt.size,
      urgent: urgency === Urgency.URGENT,
      payload,
      checkpoint: attempt.task.checkpoint,
      expectedRunMillis: Math.round(
        learner.runMillis(team, taskKind, expectedRunMillis),
      ),
      watcher: attempt.job.watcher,
      evictable: true,
    };
  }
}

function stopOrder(attempt: OpenAttempt, reason: string): StopOrder {
  return {
    name: attempt.name,
    checkpoint: attempt.stopWithCheckpoint,
    reason,
  };
}
