import {Random} from '../../src/utilities/random.js';
import type {Resources} from '../../src/utilities/resources.js';
import type {SimulationOptions} from './batch_simulation.js';
import {drawTrace} from './batch_trace.js';
import type {TaskKindTruth, TraceOptions, TracedJob} from './batch_trace.js';
import type {SimulatedVmOptions} from './simulated_vm_options.js';

/** Fleets and work of the batch scenarios. */

export const SECOND = 1000;
export const MINUTE = 60 * SECOND;

export interface FleetSize {
  readonly name: string;
  readonly capacity: Resources;
  readonly serviceSize: Resources;
  readonly failureDomains: readonly string[];
}

export const VMS = 11;
const VMS_PER_RACK = 3;

export const ASANTEWAA: FleetSize = {
  name: 'asantewaa',
  capacity: size(16, 60),
  serviceSize: size(4, 12),
  failureDomains: ['kaneshie', 'tema', 'madina'],
};

export const SFAX: FleetSize = {
  name: 'sfax',
  capacity: size(64, 250),
  serviceSize: size(16, 50),
  failureDomains: ['sfax', 'gabes', 'mahres'],
};

const SERVICES = ['rounds', 'orders'];
const TEAMS = Array.from({length: 12}, (_, index) => `team${index}`);

const QUIET = kind('quiet', size(1, 2), size(1, 2), 20_000, 1, 1);
const URGENT = kind('urgent', size(1, 2), size(1, 2), 4000, 1, 1);
const LOUD_FOR_ROUNDS = kind('mix', size(2, 4), size(2, 4), 15_000, 5, 1.1);
const LOUD_FOR_ORDERS = kind('pallet', size(2, 4), size(2, 4), 15_000, 1.1, 5);
export const LOUD = [LOUD_FOR_ROUNDS, LOUD_FOR_ORDERS];
export const SMALL_DECLARED = [
  kind('thin', size(1, 2), size(1, 6), 20_000, 1, 1),
  kind('busy', size(1, 2), size(2, 3), 15_000, 1, 1),
  QUIET,
];
export const WELL_DECLARED = SMALL_DECLARED.map(truth => {
  return {...truth, declared: truth.used};
});

export interface ScenarioPlan {
  readonly vms: readonly SimulatedVmOptions[];
  readonly shards: number;
  readonly durationMillis: number;
  readonly trace: TraceOptions;
  readonly faults?: SimulationOptions['faults'];
}

export function basePlan(
  fleet: FleetSize,
  changes: Partial<TraceOptions> & {load: number},
): ScenarioPlan {
  const durationMillis = 8 * MINUTE;
  const free =
    fleet.capacity.milliprocessors - fleet.serviceSize.milliprocessors;
  return {
    vms: fleetVms(fleet),
    shards: 3,
    durationMillis,
    trace: {
      durationMillis,
      batchMilliprocessors: VMS * free,
      kinds: [QUIET, ...LOUD],
      teams: TEAMS,
      tasksPerJob: 6,
      ...changes,
    },
  };
}

export function urgentWork(): Partial<TraceOptions> {
  return {
    urgentJobsPerSecond: 1,
    urgentKind: URGENT,
    urgentFromMillis: MINUTE,
  };
}

export function fleetVms(fleet: FleetSize): SimulatedVmOptions[] {
  const {capacity, serviceSize, failureDomains} = fleet;
  return Array.from({length: VMS}, (_, index) => {
    const rack = Math.floor(index / VMS_PER_RACK);
    return {
      vm: `vm${index}`,
      failureDomain: failureDomains[index % failureDomains.length],
      rack: `rack${rack}`,
      capacity,
      service: SERVICES[index % SERVICES.length],
      serviceSize,
    };
  });
}

export function drawJobs(plan: ScenarioPlan, seed: number): TracedJob[] {
  return drawTrace(plan.trace, new Random(seed));
}

function size(processors: number, gigabytes: number): Resources {
  return {
    milliprocessors: processors * 1000,
    memoryMegabytes: gigabytes * 1000,
    accelerators: 0,
  };
}

function kind(
  taskKind: string,
  declared: Resources,
  used: Resources,
  meanRunMillis: number,
  slowsRounds: number,
  slowsOrders: number,
): TaskKindTruth {
  const slowdowns = new Map([
    ['rounds', slowsRounds],
    ['orders', slowsOrders],
  ]);
  return {taskKind, declared, used, meanRunMillis, slowdowns};
}
