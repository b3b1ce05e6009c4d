import type {Scenario} from '../scenario.js';
import type {Fault, FaultTarget} from './fault.js';
import {fleetSizes} from './fleet_size.js';
import {BOUND, REFERENCE, serviceScenario} from './service_runner.js';
import type {RatioRule, ServiceScenarioOptions} from './service_runner.js';

const SECOND = 1000;
const STEADY_MILLIS = 60 * SECOND;
const FAULT_MILLIS = 30 * SECOND;
const FAULT_BEGINS_MILLIS = 8 * SECOND;
const FAULT_ENDS_MILLIS = 18 * SECOND;
/** Executors of the first failure domain; they are dealt out in turn. */
const FIRST_DOMAIN = [0, 3, 6, 9];

const toBound: readonly RatioRule[] = [
  {figure: 'p99', against: BOUND},
  {figure: 'p99.9', against: BOUND},
  {figure: 'answered/s', against: BOUND},
];

const overload: readonly RatioRule[] = [
  {figure: 'answered/s', against: REFERENCE, atLeast: 0.95},
  {figure: 'refused p99', atMost: 10},
  {figure: 'refused max', atMost: 10},
];

function begins(apply: (target: FaultTarget) => void): Fault {
  return {atMillis: FAULT_BEGINS_MILLIS, apply};
}

function ends(apply: (target: FaultTarget) => void): Fault {
  return {atMillis: FAULT_ENDS_MILLIS, apply};
}

/** Slots left when one of the executors is slower by the factor. */
function capacityWithSlow(executors: number, factor: number): number {
  return (executors - 1 + 1 / factor) / executors;
}

const SLOW_FACTOR = 4;
const SLOWED_FACTOR = 1.6;
const SLOW_CAPACITY = capacityWithSlow(11, SLOW_FACTOR);
const slowExecutor: Fault = {
  atMillis: 0,
  apply: target => target.setSlowdown(0, SLOW_FACTOR),
};

export const serviceScenarioOptions: readonly ServiceScenarioOptions[] = [
  {
    name: 'steady-70',
    description: '70% load, lognormal times of sigma 1',
    durationMillis: STEADY_MILLIS,
    loadAt: () => 0.7,
    ratios: toBound,
  },
  {
    name: 'steady-90',
    description: '90% load, lognormal times of sigma 1',
    durationMillis: STEADY_MILLIS,
    loadAt: () => 0.9,
    ratios: [
      {figure: 'p99', against: BOUND, atMost: 1.02},
      {figure: 'p99.9', against: BOUND, atMost: 1.05},
    ],
  },
  {
    name: 'low-variance-90',
    description: '90% load, lognormal times of sigma 0.2',
    durationMillis: STEADY_MILLIS,
    loadAt: () => 0.9,
    sigma: 0.2,
    ratios: [{figure: 'wait p99', against: BOUND, atMost: 2}],
  },
  {
    name: 'slow-executor-70',
    description: '70% of the capacity left, one executor 4 times slower',
    durationMillis: STEADY_MILLIS,
    loadAt: () => 0.7 * SLOW_CAPACITY,
    faults: [slowExecutor],
    ratios: [{figure: 'p99', against: BOUND, atMost: 1.08}],
  },
  {
    name: 'slow-executor-90',
    description: '90% of the capacity left, one executor 4 times slower',
    durationMillis: STEADY_MILLIS,
    loadAt: () => 0.9 * SLOW_CAPACITY,
    faults: [slowExecutor],
    ratios: [{figure: 'p99', against: BOUND, atMost: 1.08}],
  },
  {
    name: 'slow-executor-90-nominal',
    description: '90% of all slots, one executor 4 times slower',
    durationMillis: FAULT_MILLIS,
    loadAt: () => 0.9,
    faults: [slowExecutor],
    ratios: [{figure: 'p99', against: BOUND, atMost: 1.08}],
  },
  {
    name: 'four-slowed-70',
    description: '70% of the capacity left, four executors 1.6 times slower',
    durationMillis: FAULT_MILLIS,
    loadAt: () => (0.7 * (7 + 4 / SLOWED_FACTOR)) / 11,
    faults: [0, 1, 2, 3].map(executor => ({
      atMillis: 0,
      apply: target => target.setSlowdown(executor, SLOWED_FACTOR),
    })),
    ratios: [{figure: 'p99', against: BOUND, atMost: 1.08}],
  },
  {
    name: 'load-shift',
    description: '50% load, 95% for a third of the time, 60% after',
    durationMillis: FAULT_MILLIS,
    loadAt: time => {
      if (time < 10 * SECOND) return 0.5;
      return time < 20 * SECOND ? 0.95 : 0.6;
    },
    ratios: toBound,
  },
  {
    name: 'overload-150',
    description: '150% load against the same fleet at 100%',
    durationMillis: FAULT_MILLIS,
    loadAt: () => 1.5,
    referenceLoad: 1,
    ratios: overload,
  },
  {
    name: 'overload-150-tight',
    description: '150% load as above, with a deadline of 150 ms',
    durationMillis: FAULT_MILLIS,
    loadAt: () => 1.5,
    referenceLoad: 1,
    deadlineMillis: 150,
    ratios: overload,
  },
  {
    name: 'domain-out',
    description: '55% load, a failure domain drains for 10 s and comes back',
    durationMillis: FAULT_MILLIS,
    loadAt: () => 0.55,
    faults: FIRST_DOMAIN.flatMap(executor => [
      begins(target => target.drainVm(executor)),
      ends(target => target.killVm(executor)),
      ends(target => target.replaceVm(executor)),
    ]),
    ratios: toBound,
  },
  {
    name: 'domain-lost',
    description: '55% load, a failure domain dies and is replaced after 10 s',
    durationMillis: FAULT_MILLIS,
    loadAt: () => 0.55,
    faults: FIRST_DOMAIN.flatMap(executor => [
      begins(target => target.killVm(executor)),
      ends(target => target.replaceVm(executor)),
    ]),
    ratios: toBound,
  },
  {
    name: 'vm-loss',
    description: '70% load, a VM dies and is replaced after 10 s',
    durationMillis: FAULT_MILLIS,
    loadAt: () => 0.7,
    faults: [
      begins(target => target.killVm(0)),
      ends(target => target.replaceVm(0)),
    ],
    ratios: toBound,
  },
  {
    name: 'vm-frozen',
    description: '70% load, a VM stands still for 10 s',
    durationMillis: FAULT_MILLIS,
    loadAt: () => 0.7,
    faults: [
      begins(target => target.freezeVm(0)),
      ends(target => target.thawVm(0)),
    ],
    ratios: toBound,
  },
  {
    name: 'executor-lags',
    description: '70% load, an executor is 20 times slower for 10 s',
    durationMillis: FAULT_MILLIS,
    loadAt: () => 0.7,
    faults: [
      begins(target => target.setSlowdown(0, 20)),
      ends(target => target.setSlowdown(0, 1)),
    ],
    ratios: toBound,
  },
  {
    name: 'executor-fails',
    description: '70% load, an executor answers at once with errors for 10 s',
    durationMillis: FAULT_MILLIS,
    loadAt: () => 0.7,
    faults: [
      begins(target => target.setFailing(0, true)),
      ends(target => target.setFailing(0, false)),
    ],
    ratios: [...toBound, {figure: 'failed %'}],
  },
  {
    name: 'entry-killed',
    description: '70% load, an entry dies and is replaced after 10 s',
    durationMillis: FAULT_MILLIS,
    loadAt: () => 0.7,
    faults: [
      begins(target => target.killEntry(0)),
      ends(target => target.replaceEntry(0)),
    ],
    ratios: toBound,
  },
  {
    name: 'entry-frozen',
    description: '70% load, an entry stands still for 10 s',
    durationMillis: FAULT_MILLIS,
    loadAt: () => 0.7,
    faults: [
      begins(target => target.freezeEntry(0)),
      ends(target => target.thawEntry(0)),
    ],
    ratios: toBound,
  },
];

export const serviceScenarios: readonly Scenario[] = fleetSizes.flatMap(size =>
  serviceScenarioOptions.map(each => serviceScenario(size, each)),
);
