import type {HeartbeatRequest} from '../protocol/generated/burdockmoor.js';
import {DELTA_FIELDS, deltaOf, loadOf} from '../protocol/heartbeat_delta.js';
import type {DeltaField} from '../protocol/heartbeat_delta.js';

/** What an entry has taken in of this agent, and its view that is held here. */
export interface HeartbeatBase {
  readonly session: number;
  readonly sequence: number;
  readonly viewVersion: number;
}

/**
 * Makes deltas of full heartbeats. It remembers when each field last changed
 * rather than what each entry was told: a field that changed and changed back
 * is sent too, so a delta is right for any state from its base on.
 */
export class HeartbeatDeltas {
  private readonly texts = new Map<DeltaField, string>();
  private readonly changedAt = new Map<DeltaField, number>();

  /** Takes in the next full heartbeat, and gives what an entry has to be sent. */
  next(
    full: HeartbeatRequest,
    base: HeartbeatBase | undefined,
  ): HeartbeatRequest {
    this.note(full);
    if (!base) return full;
    const changed = this.changedSince(base.sequence);
    return {...deltaOf(full, changed, base), viewVersion: base.viewVersion};
  }

  private note(full: HeartbeatRequest): void {
    for (const field of DELTA_FIELDS) {
      const text = JSON.stringify(valueOf(full, field)) ?? '';
      if (this.texts.get(field) === text) continue;
      this.texts.set(field, text);
      this.changedAt.set(field, full.sequence);
    }
  }

  private changedSince(sequence: number): Set<DeltaField> {
    const changed = new Set<DeltaField>();
    for (const [field, at] of this.changedAt) {
      if (at > sequence) changed.add(field);
    }
    // Executors are sent with their loads.
    if (changed.has('executors')) changed.delete('loads');
    return changed;
  }
}

/** What is compared of a field; executors without their loads. */
function valueOf(full: HeartbeatRequest, field: DeltaField): unknown {
  if (field === 'loads') return full.executors.map(loadOf);
  if (field !== 'executors') return full[field];
  return full.executors.map(executor => ({
    ...executor,
    ...{inFlight: 0, queued: 0, serviceMillis: 0, tailMillis: 0},
  }));
}
