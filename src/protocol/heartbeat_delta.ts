/** Which fields of a heartbeat deltas leave out, and how they are put back. */
import {HeartbeatRequest} from './generated/burdockmoor.js';
import type {ExecutorLoad, ExecutorReport} from './generated/burdockmoor.js';

/**
 * The fields that a delta carries only when they changed. The bit of a field in
 * `changed` is its position here, those that change most come first.
 */
export const DELTA_FIELDS = [
  'loads',
  'used',
  'committed',
  'executors',
  'interference',
  'branches',
  'capacity',
] as const;
export type DeltaField = (typeof DELTA_FIELDS)[number];

const NOTHING = HeartbeatRequest.decode(new Uint8Array());
const MICROS_A_MILLI = 1_000;
const MAXIMUM_MICROS = 2 ** 32 - 1;
const KNOWN_BITS = 2 ** DELTA_FIELDS.length - 1;

export function isFull(request: HeartbeatRequest): boolean {
  return request.session === 0;
}

export function isChanged(delta: HeartbeatRequest, field: DeltaField): boolean {
  return (delta.changed & bitOf(field)) !== 0;
}

export function loadOf(executor: ExecutorReport): ExecutorLoad {
  const {inFlight, queued, serviceMillis, tailMillis} = executor;
  const [serviceMicros, tailMicros] = [serviceMillis, tailMillis].map(toMicros);
  return {inFlight, queued, serviceMicros, tailMicros};
}

/** The executor with another load; its times are whole microseconds. */
export function withLoad(
  executor: ExecutorReport,
  load: ExecutorLoad,
): ExecutorReport {
  const {inFlight, queued, serviceMicros, tailMicros} = load;
  const serviceMillis = serviceMicros / MICROS_A_MILLI;
  const tailMillis = tailMicros / MICROS_A_MILLI;
  return {...executor, inFlight, queued, serviceMillis, tailMillis};
}

/** What a delta says each time, whether it changed or not. */
function alwaysSaid(heartbeat: HeartbeatRequest) {
  const {sequence, agentTime, settingsRevision, runningAttempts} = heartbeat;
  const {draining, stopping, recovering} = heartbeat;
  return {
    ...{sequence, agentTime, settingsRevision, runningAttempts},
    ...{draining, stopping, recovering},
  };
}

/** The delta of a full heartbeat that carries the changed fields alone. */
export function deltaOf(
  full: HeartbeatRequest,
  changed: ReadonlySet<DeltaField>,
  base: {readonly session: number; readonly sequence: number},
): HeartbeatRequest {
  const delta: HeartbeatRequest = {
    ...NOTHING,
    ...alwaysSaid(full),
    session: base.session,
    baseDistance: full.sequence - base.sequence,
  };
  for (const field of changed) {
    delta.changed |= bitOf(field);
    if (field === 'loads') delta.loads = full.executors.map(loadOf);
    else Object.assign(delta, {[field]: full[field]});
  }
  return delta;
}

/**
 * The full heartbeat that a delta stands for, given one that is not older than
 * its base; undefined when the delta does not fit.
 */
export function applyDelta(
  known: HeartbeatRequest,
  delta: HeartbeatRequest,
): HeartbeatRequest | undefined {
  const isBaseKnown = delta.sequence - delta.baseDistance <= known.sequence;
  if (!isBaseKnown || delta.changed > KNOWN_BITS) return undefined;
  const full = {...known, ...alwaysSaid(delta)};
  for (const field of DELTA_FIELDS) {
    if (field === 'loads' || !isChanged(delta, field)) continue;
    Object.assign(full, {[field]: delta[field]});
  }
  if (!isChanged(delta, 'loads')) return full;
  if (delta.loads.length !== full.executors.length) return undefined;
  full.executors = full.executors.map((executor, position) =>
    withLoad(executor, delta.loads[position]),
  );
  return full;
}

function toMicros(millis: number): number {
  return Math.min(MAXIMUM_MICROS, Math.round(millis * MICROS_A_MILLI));
}

function bitOf(field: DeltaField): number {
  return 1 << DELTA_FIELDS.indexOf(field);
}
