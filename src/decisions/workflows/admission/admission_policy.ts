import {hashOf} from '../../../utilities/text_hash.js';
import type {AdmissionDemand} from './admission_demand.js';
import type {AdmissionOutlook} from './admission_outlook.js';

/**
 * Share of the wait that counts. Estimates are off by a factor of up to two, and
 * a workflow is refused only if it has no value even when the work ahead takes
 * half of the expected time.
 */
const OPTIMISTIC_WAIT_SHARE = 0.5;
/** The same for a caller that was told to come back, and did. */
const RETURNED_WAIT_SHARE = 0.4;
/**
 * Part of the tolerated wait that is left when a refused caller is told to come
 * back: the measured rate varies by about as much from second to second.
 */
const PROMISE_MARGIN_SHARE = 0.2;
const MILLIS_PER_SECOND = 1_000;
const MINIMUM_SECONDS = 1;
const MAXIMUM_SECONDS = 30;
/** Spreads the callers that were refused by the same outlook. */
const MAXIMUM_JITTER_SHARE = 0.25;
const HASH_RANGE = 2 ** 32;

/** The reason of a refusal, and when the workflow would be accepted. */
export interface AdmissionRefusal {
  readonly retryAfterSeconds: number;
  /** Time from now to the end of the workflow, by the optimistic reading. */
  readonly expectedEndMillis: number;
  /** Work that would be done first, in core-milliseconds. */
  readonly workAhead: number;
  /** Work that the pool finishes in a millisecond, in core-milliseconds. */
  readonly rate: number;
}

/** Input of the decision about one workflow. */
export interface AdmissionRequest {
  readonly id: string;
  readonly demand: AdmissionDemand;
  readonly outlook: AdmissionOutlook;
  /** Work of earlier refused callers that are expected back. */
  readonly promisedWork?: number;
  /** The caller was refused before, and has waited for its Retry-After. */
  readonly hasReturned?: boolean;
}

/**
 * Returns why the workflow is refused, or undefined if it is accepted.
 *
 * Load pattern: a burst of large best-effort workflows exceeds what the pool can
 * finish. If all are accepted, most end without value, and the processor time
 * that they have taken is lost to those that could have ended in time. A caller
 * that is refused at once comes back when there is room.
 */
export function findRefusal(
  request: AdmissionRequest,
): AdmissionRefusal | undefined {
  const {id, demand, outlook, promisedWork = 0, hasReturned} = request;
  const {work, workflows, rate} = backlogAheadOf(demand, outlook);
  if (work === 0 || rate === 0) return undefined;
  // Small workflows pass larger ones: none of those ahead delays the new one by
  // more work than it has itself.
  const accepted = Math.min(work, workflows * demand.work);
  const workAhead = accepted + promisedWork;
  const waitMillis = workAhead / rate;
  const ownMillis = Math.max(demand.chainMillis, demand.work / rate);
  const share = hasReturned ? RETURNED_WAIT_SHARE : OPTIMISTIC_WAIT_SHARE;
  const expectedEndMillis = share * waitMillis + ownMillis;
  if (expectedEndMillis <= demand.valueMillis) return undefined;
  const slackMillis = demand.valueMillis - ownMillis;
  const maximumWaitMillis = Math.max(0, slackMillis) / OPTIMISTIC_WAIT_SHARE;
  const promisedWaitMillis = (1 - PROMISE_MARGIN_SHARE) * maximumWaitMillis;
  return {
    retryAfterSeconds: retryAfterSeconds(waitMillis - promisedWaitMillis, id),
    expectedEndMillis,
    workAhead,
    rate,
  };
}

/** Returns the time with the jitter of the workflow, in whole seconds. */
export function retryAfterSeconds(waitMillis: number, id: string): number {
  // The suffix spreads ids that differ in their last characters only.
  const share = hashOf(`${id} retry-after`) / HASH_RANGE;
  const jitter = 1 + MAXIMUM_JITTER_SHARE * share;
  const longest = MAXIMUM_SECONDS / (1 + MAXIMUM_JITTER_SHARE);
  // The limit applies before the jitter, which also spreads the longest waits.
  const seconds = Math.min(longest, waitMillis / MILLIS_PER_SECOND) * jitter;
  return Math.max(MINIMUM_SECONDS, Math.ceil(seconds));
}

/** Sums up the best-effort work with the same or a better priority. */
function backlogAheadOf(
  {service, priority}: AdmissionDemand,
  {backlogs}: AdmissionOutlook,
): {readonly work: number; readonly workflows: number; readonly rate: number} {
  let work = 0;
  let workflows = 0;
  let rate = 0;
  for (const backlog of backlogs) {
    if (backlog.service !== service || backlog.priority > priority) continue;
    work += backlog.work;
    workflows += backlog.workflows;
    rate = backlog.rate;
  }
  return {work, workflows, rate};
}
