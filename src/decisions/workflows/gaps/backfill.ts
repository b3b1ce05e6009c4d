import {fitsInto, subtractResources} from '../../../utilities/resources.js';
import {maximumResources, NO_RESOURCES} from '../../../utilities/resources.js';
import type {ReservationNote} from '../explaining/explanation.js';
import type {PlacementCandidate} from '../placement_candidate.js';
import {reservedSize} from '../worker_view.js';
import type {StepSpec} from '../workflow_types.js';
import {addRooms, roomFor} from './end_timeline.js';
import type {Room} from './end_timeline.js';
import type {Reservation} from './gap_reservations.js';

/** A reservation as it applies to one worker in one round. */
export interface Hold {
  readonly reservation: Reservation;
  /** Room that is expected to be released until the reserved time. */
  readonly released: Room;
}

export type Holds = ReadonlyMap<PlacementCandidate, Hold>;

/**
 * Decides which reserved workers the tasks of a step may use: those that the
 * tasks surely leave before the reserved time, and those on which the reserved
 * tasks fit beside them.
 *
 * Load pattern: a worker is kept for a large task for as long as its runs last,
 * and would be left partly unused although short tasks wait.
 */
export class Backfill {
  /** True if the tasks were kept from a worker. */
  hasHeldBack = false;

  constructor(
    private readonly step: StepSpec,
    /** Time within which a task surely ends. */
    readonly highMillis: number,
    private readonly now: number,
    private readonly holds: Holds,
  ) {}

  /** Describes the reservation of a worker, for an explanation. */
  noteOf(candidate: PlacementCandidate): ReservationNote | undefined {
    const reservation = this.holds.get(candidate)?.reservation;
    if (!reservation) return undefined;
    const {holder, expectedAt} = reservation;
    return {
      holder: `${holder.workflow.id}.${holder.step}`,
      endsInMillis: Math.max(0, Math.round(expectedAt - this.now)),
    };
  }

  isHeldBack(candidate: PlacementCandidate): boolean {
    const hold = this.holds.get(candidate);
    if (!hold) return false;
    if (this.now + this.highMillis <= hold.reservation.expectedAt) return false;
    if (this.fitsBeside(candidate, hold)) return false;
    this.hasHeldBack = true;
    return true;
  }

  /** Tasks placed in this round count as present at the reserved time. */
  private fitsBeside(candidate: PlacementCandidate, hold: Hold): boolean {
    const {holder, tasks} = hold.reservation;
    const holderStep = holder.workflow.spec.steps[holder.step];
    const claim = roomFor(holderStep, tasks);
    const {free, unusedMilliprocessors} = addRooms(hold.released, {
      free: candidate.free,
      unusedMilliprocessors: candidate.expectedUnusedMilliprocessors,
    });
    // A resource that is short without the task is not short because of it.
    const spare = maximumResources(
      subtractResources(free, claim.free),
      NO_RESOURCES,
    );
    if (!fitsInto(reservedSize(this.step), spare)) return false;
    const spareUnused = unusedMilliprocessors - claim.unusedMilliprocessors;
    return !holderStep.fills || this.step.size.milliprocessors <= spareUnused;
  }
}
