import test from 'ava';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';

test('should run actions in the order of their virtual time', t => {
  const clock = new VirtualClock();
  const seen: number[] = [];
  clock.schedule(20, () => seen.push(20));
  clock.schedule(10, () => seen.push(10));
  const cancelled = clock.schedule(15, () => seen.push(15));
  cancelled.cancel();
  clock.runUntil(30);
  t.deepEqual(seen, [10, 20]);
  t.is(clock.now(), 30);
});
