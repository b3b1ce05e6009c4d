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

/** Maximum age of the agent's clock reading in a start. */
export const START_VALID_MILLIS = 5_000;

/** How long closed attempts are kept: longer than a start stays valid. */
export const CLOSED_ATTEMPT_RETENTION_MILLIS = 4 * START_VALID_MILLIS;

/** Share of a lease that must remain for a start. */
const MINIMUM_LEASE_SHARE = 0.3;

/** Reason for refusing a start, which did not run and will not. */
export interface Refusal {
  readonly code: ResultCode;
  readonly reason: string;
}

function createRefusal(code: ResultCode, reason: string): Refusal {
  return {code, reason};
}

/** Refuses a request of an old epoch, for another incarnation, or delayed. */
export function checkSender(
  context: AgentContext,
  request: StartAttemptsRequest,
): Refusal | undefined {
  const {identity, leases} = context;
  if (!leases.fence(request.shard, request.epoch)) {
    const highestEpoch = leases.highestEpoch(request.shard);
    const reason = `epoch ${request.epoch} is older than ${highestEpoch}`;
    return createRefusal(ResultCodes.OLD_EPOCH, reason);
  }
  if (
    request.agentId !== identity.agentId ||
    request.incarnation !== identity.incarnation
  ) {
    const reason = `this is ${identity.agentId} ${identity.incarnation}`;
    return createRefusal(ResultCodes.OTHER_INCARNATION, reason);
  }
  return checkAge(context, request);
}

/** Refuses a start whose reading of the agent's clock is too old. */
export function checkAge(
  context: AgentContext,
  request: StartAttemptsRequest,
): Refusal | undefined {
  const ageMillis = context.clock.now() - request.agentTime;
  if (ageMillis >= 0 && ageMillis <= START_VALID_MILLIS) return undefined;
  const reason = `its reading of the agent's clock is ${ageMillis} ms old`;
  return createRefusal(ResultCodes.START_DELAYED, reason);
}

export function checkClosed(
  context: AgentContext,
  name: AttemptName,
): Refusal | undefined {
  const key = attemptKey(name);
  if (!context.closed.isClosed(key, context.clock.now())) return undefined;
  return createRefusal(ResultCodes.ATTEMPT_CLOSED, `${key} was closed`);
}

/** True if the settings are recent enough to start tasks. */
export function areSettingsFresh(
  context: AgentContext,
  minimumRevision: number,
): boolean {
  const {clock, settings} = context;
  if (settings.revision < minimumRevision) return false;
  const ageMillis = settings.confirmedAgeMillis(clock.now());
  return ageMillis <= settings.fleet.maximumSettingsAgeMillis;
}

/** Refuses a start if the VM may not run tasks of the shard now. */
export function checkVm(
  context: AgentContext,
  request: StartAttemptsRequest,
): Refusal | undefined {
  const {identity} = context;
  if (!areSettingsFresh(context, request.settingsRevision)) {
    const reason = 'the settings were not confirmed recently';
    return createRefusal(ResultCodes.SETTINGS_NOT_CONFIRMED, reason);
  }
  if (isFailureDomainOut(context)) {
    const reason = `failure domain ${identity.failureDomain} is out of service`;
    return createRefusal(ResultCodes.FAILURE_DOMAIN_OUT, reason);
  }
  if (isDrained(context)) {
    const reason = `VM ${identity.agentId} is drained or stopping`;
    return createRefusal(ResultCodes.VM_DRAINED, reason);
  }
  return checkLease(context, request.shard) ?? checkWorker(context);
}

/**
 * Refuses a start if too little of the shard's lease remains. The lease of an
 * earlier owner doesn't count: the new owner would place the task again while
 * that lease may still last.
 */
export function checkLease(
  context: AgentContext,
  shard: number,
): Refusal | undefined {
  const {clock, leases, settings} = context;
  if (!leases.isFromNewestOwner(shard)) {
    return createRefusal(
      ResultCodes.NO_LEASE,
      `no lease from the owner of shard ${shard}`,
    );
  }
  const leftMillis = leases.endsAt(shard) - clock.now();
  const {taskLeaseMillis} = settings.fleet;
  if (leftMillis >= MINIMUM_LEASE_SHARE * taskLeaseMillis) return undefined;
  return createRefusal(
    ResultCodes.NO_LEASE,
    `no sufficient lease for shard ${shard}`,
  );
}

function checkWorker(context: AgentContext): Refusal | undefined {
  if (!isWorkerSilent(context)) return undefined;
  const reason = 'the worker does not respond';
  return createRefusal(ResultCodes.WORKER_UNAVAILABLE, reason);
}
