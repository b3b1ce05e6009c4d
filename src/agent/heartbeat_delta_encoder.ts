import type {HeartbeatRequest} from '../protocol/generated/burdockmoor.js';
import {
  DELTA_FIELDS,
  createDelta,
  loadOf,
} from '../protocol/heartbeat_delta.js';
import type {DeltaField} from '../protocol/heartbeat_delta.js';

/** Last heartbeat that an entry applied, and the entry's view known here. */
export interface HeartbeatBase {
  readonly session: number;
  readonly sequence: number;
  readonly viewVersion: number;
}

/**
 * Encodes full heartbeats as deltas. Stores when each field last changed rather
 * than what each entry was sent. A field that changed and changed back is sent
 * too, so a delta also applies to any state newer than its base.
 */
export class HeartbeatDeltaEncoder {
  private readonly lastValues = new Map<DeltaField, string>();
  private readonly changeSequences = new Map<DeltaField, number>();

  /** Returns the delta of a full heartbeat, or all of it without a base. */
  encode(
    full: HeartbeatRequest,
    base: HeartbeatBase | undefined,
  ): HeartbeatRequest {
    this.recordChanges(full);
    if (!base) return full;
    const changed = this.changedSince(base.sequence);
    return {...createDelta(full, changed, base), viewVersion: base.viewVersion};
  }

  private recordChanges(full: HeartbeatRequest): void {
    for (const field of DELTA_FIELDS) {
      const value = JSON.stringify(comparedValueOf(full, field)) ?? '';
      if (this.lastValues.get(field) === value) continue;
      this.lastValues.set(field, value);
      this.changeSequences.set(field, full.sequence);
    }
  }

  private changedSince(sequence: number): Set<DeltaField> {
    const changed = new Set<DeltaField>();
    for (const [field, changedAt] of this.changeSequences) {
      if (changedAt > sequence) changed.add(field);
    }
    // The executors field includes their loads.
    if (changed.has('executors')) changed.delete('loads');
    return changed;
  }
}

/** Returns the value of a field to compare; executors without their loads. */
function comparedValueOf(full: HeartbeatRequest, field: DeltaField): unknown {
  if (field === 'loads') return full.executors.map(loadOf);
  if (field !== 'executors') return full[field];
  return full.executors.map(executor => ({
    ...executor,
    ...{inFlight: 0, queued: 0, serviceMillis: 0, tailMillis: 0},
  }));
}
