import {HeartbeatRequest} from '../../protocol/generated/burdockmoor.js';
import type {
  ExecutorReport,
  InterferenceSample,
} from '../../protocol/generated/burdockmoor.js';
import {loadOf, withLoad} from '../../protocol/heartbeat_delta.js';
import {FLEET_BRANCH} from '../../settings/settings_types.js';
import {addResources, NO_RESOURCES} from '../../utilities/resources.js';
import type {Resources} from '../../utilities/resources.js';
import {isDrained, isRecovering} from '../agent_context.js';
import type {AgentContext} from '../agent_context.js';

const SLOWDOWN_STEP = 0.01;
const EMPTY_REQUEST = HeartbeatRequest.decode(new Uint8Array());

/** The state of the service beside the agent, as sent in heartbeats. */
export interface ServiceState {
  readonly executors: ExecutorReport[];
  readonly interference: InterferenceSample[];
  readonly teams: readonly string[];
}

/** Returns a full heartbeat with the current state of the VM. */
export function heartbeatRequest(
  context: AgentContext,
  service: ServiceState,
  sequence: number,
): HeartbeatRequest {
  const {identity, ledger, clock, settings, attempts} = context;
  return {
    ...EMPTY_REQUEST,
    ...identity,
    sequence,
    // Rounded down: a lease counted from it can only be shorter.
    agentTime: Math.floor(clock.now()),
    capacity: ledger.capacity,
    committed: ledger.committed,
    executors: service.executors.map(withRoundedLoad),
    settingsRevision: settings.revision,
    branches: [FLEET_BRANCH, ...service.teams],
    draining: isDrained(context),
    runningAttempts: attempts.live().length,
    interference: service.interference.map(withRoundedSlowdown),
    used: usedResources(context),
    stopping: context.stopping,
    recovering: isRecovering(context),
  };
}

/** Rounds measured times as deltas do, so that full heartbeats match them. */
function withRoundedLoad(executor: ExecutorReport): ExecutorReport {
  return withLoad(executor, loadOf(executor));
}

/** Rounds estimates, which fluctuate more finely than placement needs. */
function withRoundedSlowdown(sample: InterferenceSample): InterferenceSample {
  const steps = Math.round(sample.slowdown / SLOWDOWN_STEP);
  return {...sample, slowdown: steps * SLOWDOWN_STEP};
}

function usedResources(context: AgentContext): Resources {
  let used = NO_RESOURCES;
  for (const task of context.workerStatus?.tasks ?? []) {
    used = addResources(used, task.used);
  }
  return used;
}
