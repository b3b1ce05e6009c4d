/** Creates and applies heartbeat deltas, which omit unchanged fields. */
import {HeartbeatRequest} from './generated/burdockmoor.js';
import type {ExecutorLoad, ExecutorReport} from './generated/burdockmoor.js';

/**
 * Fields that a delta contains only if they changed. The bit of a field in
 * `changed` is its position here; the most frequently changed come first.
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

const EMPTY_HEARTBEAT = HeartbeatRequest.decode(new Uint8Array());
const MICROS_PER_MILLI = 1_000;
const MAXIMUM_MICROS = 2 ** 32 - 1;
const KNOWN_FIELD_BITS = 2 ** DELTA_FIELDS.length - 1;

export function isFullHeartbeat(request: HeartbeatRequest): boolean {
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

/** Returns the executor with another load; its times are whole microseconds. */
export function withLoad(
  executor: ExecutorReport,
  load: ExecutorLoad,
): ExecutorReport {
  const {inFlight, queued, serviceMicros, tailMicros} = load;
  const serviceMillis = serviceMicros / MICROS_PER_MILLI;
  const tailMillis = tailMicros / MICROS_PER_MILLI;
  return {...executor, inFlight, queued, serviceMillis, tailMillis};
}

/** Returns the fields that a delta always contains, changed or not. */
function alwaysSentFieldsOf(heartbeat: HeartbeatRequest) {
  const {sequence, agentTime, settingsRevision, runningAttempts} = heartbeat;
  const {draining, stopping, recovering} = heartbeat;
  return {
    ...{sequence, agentTime, settingsRevision, runningAttempts},
    ...{draining, stopping, recovering},
  };
}

/** Returns the delta of a full heartbeat with only the changed fields. */
export function createDelta(
  full: HeartbeatRequest,
  changed: ReadonlySet<DeltaField>,
  base: {readonly session: number; readonly sequence: number},
): HeartbeatRequest {
  const delta: HeartbeatRequest = {
    ...EMPTY_HEARTBEAT,
    ...alwaysSentFieldsOf(full),
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
 * Returns the full heartbeat that results from a delta and a known heartbeat
 * not older than the delta's base; undefined if the two do not match.
 */
export function applyDelta(
  known: HeartbeatRequest,
  delta: HeartbeatRequest,
): HeartbeatRequest | undefined {
  const isBaseKnown = delta.sequence - delta.baseDistance <= known.sequence;
  if (!isBaseKnown || delta.changed > KNOWN_FIELD_BITS) return undefined;
  const full = {...known, ...alwaysSentFieldsOf(delta)};
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
  return Math.min(MAXIMUM_MICROS, Math.round(millis * MICROS_PER_MILLI));
}

function bitOf(field: DeltaField): number {
  return 1 << DELTA_FIELDS.indexOf(field);
}
