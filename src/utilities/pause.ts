import type {Clock} from './clock.js';

/** Resolves after the delay in milliseconds. */
export function pause(clock: Clock, millis: number): Promise<void> {
  return new Promise(resolve => {
    clock.schedule(millis, resolve);
  });
}
