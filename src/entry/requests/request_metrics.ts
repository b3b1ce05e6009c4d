import type {Metrics} from '../../observability/metrics.js';
import type {ServeOutcome} from '../../protocol/links.js';
import type {CallerRequest} from './caller_request.js';
import type {RequestObserver} from './request_observer.js';

/** Counts service requests and retries, and measures response times. */
export class RequestMetrics implements RequestObserver {
  constructor(private readonly metrics: Metrics) {}

  onRequestEnd(
    request: CallerRequest,
    outcome: ServeOutcome,
    responseMillis: number,
  ): void {
    const {service} = request;
    this.metrics
      .counter('requests_total', 'Service requests by outcome.', {
        service,
        outcome,
      })
      .increment();
    this.metrics
      .latency('request_seconds', 'From arrival to the final answer.', {
        service,
      })
      .record(responseMillis);
  }

  onRetry(request: CallerRequest): void {
    const {service} = request;
    this.metrics
      .counter('request_retries_total', 'Second and later tries.', {service})
      .increment();
  }
}
