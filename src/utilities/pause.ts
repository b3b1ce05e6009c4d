import type {Clock} from './clock.js';

/** Resolves after the time in milliseconds. */
export function pause(clock: Clock, millis: number): Promise<void> {
  return new Promise(resolve => {
    clock.schedule(millis, resolve);
  });
}
