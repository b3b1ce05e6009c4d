import type {AgentContext} from '../agent_context.js';
import {isRecovering} from '../agent_context.js';
import type {ExecutorReport} from '../../protocol/generated/burdockmoor.js';

/** Returns the agent's state as a JSON document for operators. */
export function stateDump(
  context: AgentContext,
  executors: readonly ExecutorReport[],
  entries: readonly string[],
): string {
  const {attempts, clock, closed, identity, leases, ledger, settings} = context;
  const now = clock.now();
  return JSON.stringify({
    role: 'agent',
    identity,
    agentTime: now,
    stopping: context.stopping,
    recovering: isRecovering(context),
    capacity: ledger.capacity,
    committed: ledger.committed,
    settings: {
      revision: settings.revision,
      confirmedAgeMillis: settings.confirmedAgeMillis(now),
    },
    workerSilentMillis: now - context.workerStatusAt,
    entries,
    executors,
    leases: leases.all().map(lease => ({
      ...lease,
      leftMillis: lease.endsAt - now,
    })),
    attempts: [...attempts.all()],
    closedAttempts: closed.size,
  });
}
