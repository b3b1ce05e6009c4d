import type {ServeOutcome} from '../../protocol/links.js';
import type {CallerRequest} from './caller_request.js';

/** Hears how requests end, for the metrics. */
export interface RequestObserver {
  onRequestEnd(
    request: CallerRequest,
    outcome: ServeOutcome,
    answerMillis: number,
  ): void;
  onRetry(request: CallerRequest, reason: string): void;
}
