import {attemptKey} from '../decisions/job_types.js';
import type {AttemptName} from '../decisions/job_types.js';
import {ResultCodes} from '../observability/result_codes.js';
import type {ResultCode} from '../observability/result_codes.js';
import type {StartAttemptsRequest} from '../protocol/generated/burdockmoor.js';
import {
  isDrained,
  isFailureDomainOut,
  isWorkerSilent,
} from './agent_context.js';
import type {AgentContext} from './agent_context.js';

/** A start whose reading of the agent's clock is older was delayed. */
export const START_VALID_MILLIS = 5_000;

/** How long a closed attempt is remembered: no start is obeyed that long. */
export const KEEP_CLOSED_MILLIS = 4 * START_VALID_MILLIS;

/** Share of a lease that must be left for a start. */
const LEAST_LEASE_SHARE = 0.3;

/** Why a start was refused: it did not run and will not. */
export interface Refusal {
  readonly code: ResultCode;
  readonly reason: string;
}

function refuse(code: ResultCode, reason: string): Refusal {
  return {code, reason};
}

/** Whether the request is from the shard's owner, for this run, and recent. */
export function checkSender(
  context: AgentContext,
  request: StartAttemptsRequest,
): Refusal | undefined {
  const {identity, leases} = context;
  if (!leases.fence(request.shard, request.epoch)) {
    const highest = leases.highestEpoch(request.shard);
    const reason = `epoch ${request.epoch} is older than ${highest}`;
    return refuse(ResultCodes.OLD_EPOCH, reason);
  }
  if (
    request.agentId !== identity.agentId ||
    request.incarnation !== identity.incarnation
  ) {
    const reason = `this is ${identity.agentId} ${identity.incarnation}`;
    return refuse(ResultCodes.OTHER_INCARNATION, reason);
  }
  return checkAge(context, request);
}

/** Whether the start's reading of the agent's clock is recent. */
export function checkAge(
  context: AgentContext,
  request: StartAttemptsRequest,
): Refusal | undefined {
  const ageMillis = context.clock.now() - request.agentTime;
  if (ageMillis >= 0 && ageMillis <= START_VALID_MILLIS) return undefined;
  const reason = `its reading of the agent's clock is ${ageMillis} ms old`;
  return refuse(ResultCodes.START_DELAYED, reason);
}

export function checkClosed(
  context: AgentContext,
  name: AttemptName,
): Refusal | undefined {
  const key = attemptKey(name);
  if (!context.closed.isClosed(key, context.clock.now())) return undefined;
  return refuse(ResultCodes.ATTEMPT_CLOSED, `${key} was closed`);
}

/** Whether the settings are known well enough to start anything. */
export function areSettingsFresh(
  context: AgentContext,
  neededRevision: number,
): boolean {
  const {clock, settings} = context;
  if (settings.revision < neededRevision) return false;
  const ageMillis = settings.confirmedAgeMillis(clock.now());
  return ageMillis <= settings.fleet.settingsFreshMillis;
}

/** Whether the VM may start work of the shard now. */
export function checkVm(
  context: AgentContext,
  request: StartAttemptsRequest,
): Refusal | undefined {
  const {identity} = context;
  if (!areSettingsFresh(context, request.settingsRevision)) {
    const reason = 'the settings were not confirmed lately';
    return refuse(ResultCodes.SETTINGS_NOT_CONFIRMED, reason);
  }
  if (isFailureDomainOut(context)) {
    const reason = `failure domain ${identity.failureDomain} is out`;
    return refuse(ResultCodes.FAILURE_DOMAIN_OUT, reason);
  }
  if (isDrained(context)) {
    const reason = `VM ${identity.agentId} is drained or stopping`;
    return refuse(ResultCodes.VM_DRAINED, reason);
  }
  return checkLease(context, request.shard) ?? checkWorker(context);
}

/** Whether the lease of the shard's attempts leaves time to run. */
export function checkLease(
  context: AgentContext,
  shard: number,
): Refusal | undefined {
  const leftMillis = context.leases.endsAt(shard) - context.clock.now();
  const {taskLeaseMillis} = context.settings.fleet;
  if (leftMillis >= LEAST_LEASE_SHARE * taskLeaseMillis) return undefined;
  return refuse(ResultCodes.NO_LEASE, `no lease on shard ${shard}`);
}

function checkWorker(context: AgentContext): Refusal | undefined {
  if (!isWorkerSilent(context)) return undefined;
  const reason = 'the worker does not answer';
  return refuse(ResultCodes.WORKER_UNAVAILABLE, reason);
}
