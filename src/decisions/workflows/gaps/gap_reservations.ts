import type {Resources} from '../../../utilities/resources.js';
import type {DurationSource} from '../durations/duration_source.js';
import type {TaskState} from '../task_state.js';
import type {Occurrence, Workflow} from '../workflow.js';

/** Why a reservation ended. */
export const ReservationEnd = {
  PLACED: 'its task was placed',
  WORKER_UNUSABLE: 'its worker takes no tasks',
  TIME_PASSED: 'its time has passed',
  WORKFLOW_ENDED: 'the workflow has ended',
  NOT_WAITING: 'the step does not wait any more',
  GANG_BROKEN: 'another worker of its gang was lost',
  OWNER_CLOSED: 'the owner was closed',
} as const;
export type ReservationEnd =
  (typeof ReservationEnd)[keyof typeof ReservationEnd];

/** The step that holds the reservations of a service. */
export interface ReservationHolder {
  readonly workflow: Workflow;
  readonly occurrence: Occurrence;
  readonly step: number;
  readonly service: string;
  readonly priority: number;
}

/** A worker on which room is kept for tasks of one step. */
export interface Reservation {
  readonly holder: ReservationHolder;
  readonly worker: string;
  /** Number of tasks; more than one only for a gang. */
  readonly tasks: number;
  readonly madeAt: number;
  /** Time at which the tasks are expected to fit. */
  readonly expectedAt: number;
}

export interface ReservationListener {
  onMade(reservation: Reservation): void;
  onEnded(reservation: Reservation, reason: ReservationEnd): void;
}

/** What is known of a step whose tasks found no worker. */
export interface StepWait {
  readonly since: number;
  readonly objectiveMillis: number;
  /** No reservation is tried before, as none was possible. */
  retryAt: number;
}

/**
 * The workers that are reserved for large tasks, from round to round. Kept in
 * memory only: a new owner plans anew.
 *
 * Load pattern: a steady stream of small tasks takes every gap as soon as it
 * opens, so that a task as large as the unused part of a worker never finds one.
 * The worker on which it fits soonest is kept for it, and meanwhile only takes
 * tasks that don't delay it.
 */
export class GapReservations {
  /** The mean size of runs by service, with the time of its calculation. */
  readonly meanSizes = new Map<string, {size: Resources; at: number}>();
  private readonly byWorker = new Map<string, Reservation>();
  private readonly waits = new WeakMap<readonly TaskState[], StepWait>();

  constructor(
    readonly durations: DurationSource,
    private readonly listener: ReservationListener,
  ) {}

  /** Returns a copy for a round without effect; steps wait from then on. */
  copy(): GapReservations {
    const copy = new GapReservations(this.durations, {
      onMade: () => {},
      onEnded: () => {},
    });
    for (const reservation of this.held) copy.add(reservation);
    return copy;
  }

  /** The reservations that are held now. */
  get held(): Reservation[] {
    return [...this.byWorker.values()];
  }

  find(worker: string): Reservation | undefined {
    return this.byWorker.get(worker);
  }

  ofService(service: string): Reservation[] {
    return this.held.filter(({holder}) => holder.service === service);
  }

  add(reservation: Reservation): void {
    this.byWorker.set(reservation.worker, reservation);
    this.listener.onMade(reservation);
  }

  end(reservation: Reservation, reason: ReservationEnd): void {
    const {worker} = reservation;
    if (this.byWorker.get(worker) !== reservation) return;
    this.byWorker.delete(worker);
    this.listener.onEnded(reservation, reason);
  }

  endAll(reason: ReservationEnd): void {
    for (const reservation of this.held) this.end(reservation, reason);
  }

  /** Returns the record of a step that waits; creates it at the first call. */
  waitOf(
    tasks: readonly TaskState[],
    now: number,
    objectiveMillis: () => number,
  ): StepWait {
    const known = this.waits.get(tasks);
    if (known) return known;
    const wait = {since: now, objectiveMillis: objectiveMillis(), retryAt: 0};
    this.waits.set(tasks, wait);
    return wait;
  }

  /** Called when all waiting tasks of a step were placed. */
  forgetWait(tasks: readonly TaskState[]): void {
    this.waits.delete(tasks);
  }
}
