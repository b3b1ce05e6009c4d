import type {Clock} from './clock.js';

/**
 * Resolves to what the promise brings, or to undefined once the time is up.
 * The work behind the promise goes on.
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
        // Harmless once the time was up.
        reject(error);
      },
    );
  });
}
