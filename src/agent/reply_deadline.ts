import type {Clock} from '../utilities/clock.js';
import {BaseError} from '../utilities/base_error.js';

/** An answer did not come in time; the call may have taken effect. */
export const ReplyTimeoutError = BaseError.subclass('ReplyTimeoutError');

/** Passes the answer on, or rejects with a ReplyTimeoutError after the time. */
export function withReplyDeadline<T>(
  clock: Clock,
  answer: Promise<T>,
  deadlineMillis: number,
  what: string,
): Promise<T> {
  return new Promise<T>((resolve, reject) => {
    const timer = clock.schedule(deadlineMillis, () => {
      const message = `${what}: no answer within ${deadlineMillis} ms`;
      reject(new ReplyTimeoutError(message));
    });
    answer.then(resolve, reject).finally(() => timer.cancel());
  });
}
