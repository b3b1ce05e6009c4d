import type {Resources} from '../../../utilities/resources.js';
import {fitsInto} from '../../../utilities/resources.js';
import type {ImageInterference} from '../image_interference.js';
import type {PlacementCandidate} from '../placement_candidate.js';
import type {WaitingStep} from '../waiting_steps.js';
import type {WorkerView} from '../worker_view.js';
import type {TaskReference} from '../workflow.js';
import {ExpectedOutcome} from '../workflow_order.js';
import {objectiveMillis} from '../workflow_timing.js';
import {Backfill} from './backfill.js';
import type {Hold} from './backfill.js';
import {EndTimeline} from './end_timeline.js';
import {GapSearch} from './gap_search.js';
import type {Gap} from './gap_search.js';
import {ReservationEnd} from './gap_reservations.js';
import type {
  GapReservations,
  Reservation,
  ReservationHolder,
  StepWait,
} from './gap_reservations.js';

/** At most this share of a service's workers is reserved. */
const MAXIMUM_RESERVED_SHARE = 0.25;
/** A reservation ends when its time has passed by at least this. */
const MINIMUM_GRACE_MILLIS = 1_000;
/** The same as a share of the wait that was expected. */
const GRACE_SHARE = 0.5;
/** A step for which no worker can be reserved is tried again after this. */
const RETRY_MILLIS = 1_000;
/** The mean size of runs, which takes a look at each, is kept for this long. */
const MEAN_SIZE_AGE_MILLIS = 1_000;

export interface ReservationRoundOptions {
  readonly reservations: GapReservations;
  readonly candidates: readonly PlacementCandidate[];
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** A step whose tasks found no worker in this round. */
interface UnplacedStep {
  readonly waiting: WaitingStep;
  readonly wait: StepWait;
  readonly tasksLeft: number;
}

/** The runs of one round, by worker. */
interface PlannedTask {
  readonly reference: TaskReference;
  readonly worker: WorkerView;
}

/**
 * Applies the reservations to one round of placement, and makes new ones.
 *
 * Load pattern: hundreds of steps wait in each round while the pool is full, so
 * that workers are searched for one of them only, at the end of the round.
 */
export class ReservationRound {
  private readonly timeline: EndTimeline;
  private readonly holds = new Map<PlacementCandidate, Hold>();
  private readonly holders = new Map<string, ReservationHolder>();
  /** By service, the step that has waited longest for its objective. */
  private readonly longestWaiting = new Map<string, UnplacedStep>();
  /** The steps of the holders, if they still wait. */
  private readonly unplacedOfHolder = new Map<
    ReservationHolder,
    UnplacedStep
  >();

  constructor(private readonly options: ReservationRoundOptions) {
    const {reservations, now} = options;
    this.timeline = new EndTimeline(reservations.durations, now);
    this.applyReservations();
  }

  /** Undefined if no reservation restricts the tasks of the step. */
  backfillOf(waiting: WaitingStep): Backfill | undefined {
    const {workflow, occurrence, step, terms} = waiting;
    const holder = this.holders.get(terms.service);
    if (!holder || this.holderFor(waiting)) return undefined;
    const spec = workflow.spec.steps[step];
    if (spec.lasting || terms.priority < holder.priority) return undefined;
    const high = this.timeline.highMillisOf(workflow, occurrence, step);
    return new Backfill(spec, high, this.options.now, this.holds);
  }

  /** Called for each waiting step with the tasks that were placed. */
  record(waiting: WaitingStep, planned: readonly PlannedTask[]): void {
    const {reservations, now} = this.options;
    const {workflow, occurrence, step, terms} = waiting;
    const holder = this.holderFor(waiting);
    const states = occurrence.tasks[step];
    const tasksLeft = waiting.tasks.length - planned.length;
    if (holder) this.endPlaced(holder, planned, tasksLeft);
    if (tasksLeft === 0) return reservations.forgetWait(states);
    const wait = reservations.waitOf(states, now, () =>
      objectiveMillis(workflow, terms),
    );
    const unplaced = {waiting, wait, tasksLeft};
    if (holder) this.unplacedOfHolder.set(holder, unplaced);
    if (this.holders.has(terms.service) || wait.retryAt > now) return;
    this.compareWithLongest(unplaced);
  }

  /** Ends the reservations of steps that don't wait, and makes new ones. */
  finish(
    planned: readonly PlannedTask[],
    interference: ImageInterference,
  ): void {
    const {now} = this.options;
    this.endWithoutWait();
    const trying = [
      ...this.unplacedOfHolder.values(),
      ...this.longestWaiting.values(),
    ].filter(({wait}) => wait.retryAt <= now);
    if (trying.length === 0) return;
    for (const {worker, reference} of planned) {
      this.timeline.addPlanned(worker, reference);
    }
    for (const unplaced of trying) this.reserve(unplaced, interference);
  }

  private applyReservations(): void {
    const {candidates, reservations} = this.options;
    const held = reservations.held;
    if (held.length === 0) return;
    const byWorker = new Map(candidates.map(each => [each.view.key, each]));
    for (const reservation of held) {
      const candidate = byWorker.get(reservation.worker);
      const reason = this.reasonToEnd(reservation, candidate);
      if (reason) this.endReservation(reservation, reason);
    }
    for (const reservation of reservations.held) {
      const {worker, expectedAt, holder} = reservation;
      const candidate = byWorker.get(worker);
      if (!candidate) continue;
      const at = Math.max(expectedAt, this.options.now);
      const released = this.timeline.releasedBy(candidate.view, at);
      this.holds.set(candidate, {reservation, released});
      this.holders.set(holder.service, holder);
    }
  }

  private reasonToEnd(
    reservation: Reservation,
    candidate: PlacementCandidate | undefined,
  ): ReservationEnd | undefined {
    const {holder, expectedAt, madeAt} = reservation;
    if (!holder.workflow.isOpen) return ReservationEnd.WORKFLOW_ENDED;
    if (!candidate || candidate.allowedTasks < 1) {
      return ReservationEnd.WORKER_UNUSABLE;
    }
    const grace = GRACE_SHARE * (expectedAt - madeAt);
    const latest = expectedAt + Math.max(MINIMUM_GRACE_MILLIS, grace);
    return this.options.now > latest ? ReservationEnd.TIME_PASSED : undefined;
  }

  /** A gang can't use some of its workers without the others. */
  private endReservation(
    reservation: Reservation,
    reason: ReservationEnd,
  ): void {
    const {reservations} = this.options;
    reservations.end(reservation, reason);
    const {holder} = reservation;
    if (!isGang(holder)) return;
    for (const other of reservations.ofService(holder.service)) {
      reservations.end(other, ReservationEnd.GANG_BROKEN);
    }
  }

  /** Ends the reservations of steps that were not among the waiting ones. */
  private endWithoutWait(): void {
    const {reservations} = this.options;
    for (const holder of this.holders.values()) {
      if (this.unplacedOfHolder.has(holder)) continue;
      for (const each of reservations.ofService(holder.service)) {
        reservations.end(each, ReservationEnd.NOT_WAITING);
      }
    }
  }

  /** Returns the holder if the waiting step is its step. */
  private holderFor(waiting: WaitingStep): ReservationHolder | undefined {
    const holder = this.holders.get(waiting.terms.service);
    return holder && isStepOf(holder, waiting) ? holder : undefined;
  }

  private endPlaced(
    holder: ReservationHolder,
    planned: readonly PlannedTask[],
    tasksLeft: number,
  ): void {
    const {reservations} = this.options;
    for (const {worker} of planned) {
      const reservation = reservations.find(worker.key);
      if (reservation?.holder !== holder) continue;
      reservations.end(reservation, ReservationEnd.PLACED);
    }
    if (isGang(holder) && tasksLeft > 0) return;
    // Tasks placed elsewhere leave those reservations that come last.
    const held = reservations.ofService(holder.service);
    held.sort((left, right) => left.expectedAt - right.expectedAt);
    for (const each of held.slice(tasksLeft)) {
      reservations.end(each, ReservationEnd.PLACED);
    }
  }

  private compareWithLongest(unplaced: UnplacedStep): void {
    const {service} = unplaced.waiting.terms;
    const longest = this.longestWaiting.get(service);
    if (longest && !this.goesBefore(unplaced, longest)) return;
    if (!this.isLarge(unplaced.waiting)) return;
    this.longestWaiting.set(service, unplaced);
  }

  /** Steps that can still be of value go first, then the longest wait. */
  private goesBefore(left: UnplacedStep, right: UnplacedStep): boolean {
    const isLeftHopeless = isHopeless(left.waiting);
    const isRightHopeless = isHopeless(right.waiting);
    if (isLeftHopeless !== isRightHopeless) return isRightHopeless;
    return this.relativeWait(left.wait) > this.relativeWait(right.wait);
  }

  private relativeWait({since, objectiveMillis}: StepWait): number {
    // The estimate of a caller may be negative or not a number.
    const objective = objectiveMillis >= 1 ? objectiveMillis : 1;
    return (this.options.now - since) / objective;
  }

  /**
   * True if the tasks are larger than the mean run, so that the end of one run
   * seldom leaves room for them. Others are served by the plain order.
   */
  private isLarge({workflow, step, terms}: WaitingStep): boolean {
    const mean = this.meanSizeOf(terms.service);
    return !fitsInto(workflow.spec.steps[step].size, mean);
  }

  private meanSizeOf(service: string): Resources {
    const {reservations, candidates, now} = this.options;
    const known = reservations.meanSizes.get(service);
    if (known && now - known.at < MEAN_SIZE_AGE_MILLIS) return known.size;
    const size = meanSizeOf(
      candidates.filter(({view}) => view.traits.service === service),
    );
    reservations.meanSizes.set(service, {size, at: now});
    return size;
  }

  /** Reserves workers for the tasks that have none reserved yet. */
  private reserve(
    unplaced: UnplacedStep,
    interference: ImageInterference,
  ): void {
    const {reservations, candidates, now} = this.options;
    const {waiting, tasksLeft, wait} = unplaced;
    const {service} = waiting.terms;
    const step = waiting.workflow.spec.steps[waiting.step];
    const held = reservations.ofService(service);
    const tasks = tasksLeft - held.length;
    if (tasks <= 0 || (step.gang && held.length > 0)) return;
    const ofService = candidates.filter(
      ({view}) => view.traits.service === service,
    );
    const limit = Math.floor(MAXIMUM_RESERVED_SHARE * ofService.length);
    const maximumWorkers = limit - held.length;
    if (maximumWorkers <= 0) return;
    const isReserved = ({view}: PlacementCandidate): boolean =>
      reservations.find(view.key) !== undefined;
    const gaps = new GapSearch({
      waiting,
      interference,
      now,
      timeline: this.timeline,
      candidates: ofService.filter(candidate => !isReserved(candidate)),
    }).find({maximumWorkers, tasks});
    if (gaps.length === 0) wait.retryAt = now + RETRY_MILLIS;
    this.add(this.holderFor(waiting) ?? holderOf(waiting), gaps);
  }

  private add(holder: ReservationHolder, gaps: readonly Gap[]): void {
    const {reservations, now} = this.options;
    for (const {worker, tasks, expectedAt} of gaps) {
      reservations.add({holder, worker, tasks, madeAt: now, expectedAt});
    }
  }
}

function isStepOf(holder: ReservationHolder, waiting: WaitingStep): boolean {
  return (
    holder.occurrence === waiting.occurrence && holder.step === waiting.step
  );
}

function isGang({workflow, step}: ReservationHolder): boolean {
  return workflow.spec.steps[step].gang;
}

function holderOf(waiting: WaitingStep): ReservationHolder {
  const {workflow, occurrence, step, terms} = waiting;
  const {service, priority} = terms;
  return {workflow, occurrence, step, service, priority};
}

function isHopeless({rank}: WaitingStep): boolean {
  return rank.expectedOutcome === ExpectedOutcome.NO_VALUE;
}

/** Returns the mean size of the runs on the workers that end at some time. */
function meanSizeOf(candidates: readonly PlacementCandidate[]): Resources {
  const sum = {milliprocessors: 0, memoryMegabytes: 0, accelerators: 0};
  let count = 0;
  for (const {view} of candidates) {
    for (const {reference} of view.placed.values()) {
      const {lasting, size} = reference.step;
      if (lasting) continue;
      sum.milliprocessors += size.milliprocessors;
      sum.memoryMegabytes += size.memoryMegabytes;
      sum.accelerators += size.accelerators;
      count++;
    }
  }
  const divisor = Math.max(1, count);
  return {
    milliprocessors: sum.milliprocessors / divisor,
    memoryMegabytes: sum.memoryMegabytes / divisor,
    accelerators: sum.accelerators / divisor,
  };
}
