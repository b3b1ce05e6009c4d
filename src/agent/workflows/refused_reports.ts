import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {Counter, Metrics} from '../../observability/metrics.js';
import type {Clock} from '../../utilities/clock.js';

/** Minimum interval between log lines, whoever sends the reports. */
const LOG_INTERVAL_MILLIS = 10_000;
const MAXIMUM_LOGGED_ID_LENGTH = 100;

export interface RefusedReportsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Counts the worker reports that an agent refuses, and logs a few of them. */
export class RefusedReports {
  private readonly total: Counter;
  private loggedAt = -Infinity;

  constructor(private readonly options: RefusedReportsOptions) {
    this.total = options.metrics.counter(
      'worker_reports_refused_total',
      'Worker reports that were refused.',
    );
  }

  record(id: string, reason: string): void {
    const {clock, logger} = this.options;
    this.total.increment();
    if (clock.now() - this.loggedAt < LOG_INTERVAL_MILLIS) return;
    this.loggedAt = clock.now();
    logger.event(Events.REPORT_UNREADABLE, {
      id: id.slice(0, MAXIMUM_LOGGED_ID_LENGTH),
      reason,
      refused: this.total.value,
    });
  }
}
