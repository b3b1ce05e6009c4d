import type {
  Reservation,
  ReservationEnd,
  ReservationListener,
} from '../../decisions/workflows/gaps/gap_reservations.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {Metrics} from '../../observability/metrics.js';
import type {Clock} from '../../utilities/clock.js';

export interface ReservationReporterOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Reports reservations of workers as events and metrics. */
export class ReservationReporter implements ReservationListener {
  private heldCount = 0;

  constructor(private readonly options: ReservationReporterOptions) {}

  onMade(reservation: Reservation): void {
    const {logger, metrics} = this.options;
    const {worker, tasks, madeAt, expectedAt} = reservation;
    logger.event(Events.RESERVATION_MADE, {
      ...stepFieldsOf(reservation),
      worker,
      tasks,
      expectedMillis: Math.round(expectedAt - madeAt),
    });
    metrics
      .counter('reservations_made_total', 'Workers reserved for large tasks.')
      .increment();
    this.count(1);
  }

  onEnded(reservation: Reservation, reason: ReservationEnd): void {
    const {clock, logger, metrics} = this.options;
    const {worker, madeAt} = reservation;
    logger.event(Events.RESERVATION_ENDED, {
      ...stepFieldsOf(reservation),
      worker,
      reason,
      heldMillis: Math.round(clock.now() - madeAt),
    });
    metrics
      .counter(
        'reservations_ended_total',
        'Reservations of workers that ended, by reason.',
        {reason},
      )
      .increment();
    this.count(-1);
  }

  private count(difference: number): void {
    this.heldCount += difference;
    this.options.metrics
      .gauge('reservations_held', 'Workers that are reserved for large tasks.')
      .set(this.heldCount);
  }
}

function stepFieldsOf({holder}: Reservation): {
  workflow: string;
  occurrence: number;
  step: number;
} {
  const {workflow, occurrence, step} = holder;
  return {workflow: workflow.id, occurrence: occurrence.number, step};
}
