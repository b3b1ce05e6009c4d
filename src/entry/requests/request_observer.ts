import type {ServeOutcome} from '../../protocol/links.js';
import type {CallerRequest} from './caller_request.js';

/** Receives the outcomes and retries of requests, for the metrics. */
export interface RequestObserver {
  onRequestEnd(
    request: CallerRequest,
    outcome: ServeOutcome,
    responseMillis: number,
  ): void;
  onRetry(request: CallerRequest, reason: string): void;
}
