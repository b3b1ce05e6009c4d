import type {Clock} from './clock.js';

/**
 * Resolves to the result of the promise, or to undefined after the timeout. The
 * operation behind the promise is not cancelled.
 */
export function withDeadline<Result>(
  clock: Clock,
  millis: number,
  promise: Promise<Result>,
): Promise<Result | undefined> {
  return new Promise((resolve, reject) => {
    const timer = clock.schedule(millis, () => resolve(undefined));
    promise.then(
      result => {
        timer.cancel();
        resolve(result);
      },
      (error: unknown) => {
        timer.cancel();
        // No effect after the timeout.
        reject(error);
      },
    );
  });
}
