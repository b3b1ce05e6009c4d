import test from 'ava';
import {fleetSizes} from '../../bench/service/fleet_size.js';
import {traceOf} from '../../bench/service/request_trace.js';
import {ServiceSimulation} from '../../bench/service/service_simulation.js';
import type {Fault} from '../../bench/service/fault.js';

const DURATION_MILLIS = 4000;

function figuresAt(load: number, faults: readonly Fault[] = []) {
  const size = {...fleetSizes[1], deadlineMillis: 150};
  const options = {durationMillis: DURATION_MILLIS, loadAt: () => load};
  const trace = traceOf(size, 1, options);
  const simulation = new ServiceSimulation({
    size,
    seed: 1,
    trace,
    faults,
    hedges: true,
  });
  return simulation.run().figures(DURATION_MILLIS);
}

test('should give the same figures for the same seed', t => {
  t.deepEqual(figuresAt(0.7), figuresAt(0.7));
});

test('should keep its goodput in an overload and refuse at once', t => {
  const full = figuresAt(1);
  const overloaded = figuresAt(1.5);
  t.true(overloaded['answered/s'] >= 0.95 * full['answered/s']);
  t.true(overloaded['refused max'] <= 10);
  t.true(overloaded['extra %'] <= 11);
});

test('should not send requests that a draining failure domain does not run', t => {
  const drained = [0, 3, 6, 9].map(executor => ({
    atMillis: 1000,
    apply: (target: {drainVm(executor: number): void}) =>
      target.drainVm(executor),
  }));
  const figures = figuresAt(0.5, drained);
  t.is(figures['not run %'], 0);
});
