import type {Clock} from '../utilities/clock.js';
import {BaseError} from '../utilities/base_error.js';

/** No response arrived in time; the call may have taken effect. */
export const ReplyTimeoutError = BaseError.subclass('ReplyTimeoutError');

/** Settles like the response, or rejects with a ReplyTimeoutError if late. */
export function withReplyDeadline<T>(
  clock: Clock,
  response: Promise<T>,
  deadlineMillis: number,
  description: string,
): Promise<T> {
  return new Promise<T>((resolve, reject) => {
    const timer = clock.schedule(deadlineMillis, () => {
      const message = `${description}: no response within ${deadlineMillis} ms`;
      reject(new ReplyTimeoutError(message));
    });
    response.then(resolve, reject).finally(() => timer.cancel());
  });
}
