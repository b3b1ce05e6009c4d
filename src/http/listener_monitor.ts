import {Events} from '../observability/events.js';
import type {Logger} from '../observability/logger.js';
import type {Counter, Metrics} from '../observability/metrics.js';

/** Minimum interval between log lines of a listener. */
const LOG_INTERVAL_MILLIS = 10_000;

export interface ListenerMonitorOptions {
  /** Name of the listener in metrics and logs. */
  readonly listener: string;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Counts what a listener refuses or closes at its limits, and logs a few. */
export class ListenerMonitor {
  private readonly refused: Counter;
  private readonly displaced: Counter;
  private readonly stalled: Counter;
  private readonly bodies: Counter;
  private loggedAt = -Infinity;

  constructor(private readonly options: ListenerMonitorOptions) {
    const {listener, metrics} = options;
    const labels = {listener};
    this.refused = metrics.counter(
      'connections_refused_total',
      'Connections refused, as the listener had too many busy ones.',
      labels,
    );
    this.displaced = metrics.counter(
      'connections_displaced_total',
      'Idle connections closed to make room for new ones.',
      labels,
    );
    this.stalled = metrics.counter(
      'connections_stalled_total',
      'Connections closed, as their clients took no response.',
      labels,
    );
    this.bodies = metrics.counter(
      'bodies_given_up_total',
      'Incomplete bodies given up, as all bodies together were too large.',
      labels,
    );
  }

  /** Records a new connection beyond the limit, for which another made room. */
  recordFull(hasRoom: boolean): void {
    (hasRoom ? this.displaced : this.refused).increment();
    this.log();
  }

  recordStalled(connections: number): void {
    this.stalled.increment(connections);
    this.log();
  }

  recordBodyGivenUp(): void {
    this.bodies.increment();
    this.log();
  }

  private log(): void {
    const now = performance.now();
    if (now - this.loggedAt < LOG_INTERVAL_MILLIS) return;
    this.loggedAt = now;
    const {listener, logger} = this.options;
    logger.event(Events.LISTENER_OVERLOADED, {
      listener,
      refused: this.refused.value,
      displaced: this.displaced.value,
      stalled: this.stalled.value,
      bodiesGivenUp: this.bodies.value,
    });
  }
}
