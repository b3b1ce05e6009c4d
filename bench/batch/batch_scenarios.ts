import type {Scenario, ScenarioRatio} from '../scenario.js';
import {quantile} from './batch_metrics.js';
import {
  ASANTEWAA,
  LOUD,
  MINUTE,
  SECOND,
  SFAX,
  SMALL_DECLARED,
  VMS,
  WELL_DECLARED,
  basePlan,
  fleetVms,
  urgentWork,
} from './batch_plans.js';
import type {FleetSize, ScenarioPlan} from './batch_plans.js';
import type {BatchSimulation} from './batch_simulation.js';
import {compareBatch, secondsUntilFullPace} from './compare_batch.js';
import type {BatchRuns} from './compare_batch.js';

/** Faults of the batch scenarios, and what each is to show. */

export interface BatchScenario {
  readonly name: string;
  readonly title: string;
  plan(fleet: FleetSize): ScenarioPlan;
  /** A run in which nothing goes wrong, to compare with. */
  reference?(fleet: FleetSize): ScenarioPlan;
  ratios(runs: BatchRuns, fleet: FleetSize): readonly ScenarioRatio[];
}

const OUT_AT = 2 * MINUTE;
const TAKE_OVER_MILLIS = 12_000;
const FROZEN_MILLIS = 30_000;
const BACK_AT = 5 * MINUTE;

const SCENARIOS: readonly BatchScenario[] = [
  {
    name: 'batch-steady',
    title: 'steady work at 80% of the room',
    plan: fleet => basePlan(fleet, {load: 0.8}),
    ratios: lateRatio,
  },
  {
    name: 'batch-urgent',
    title: 'urgent tasks while the queue is full',
    plan: fleet => basePlan(fleet, {load: 1.3, ...urgentWork()}),
    ratios: ({product}) => [
      {
        name: 'urgent start p99 in seconds',
        value: quantile(product.urgentWaits, 0.99) / SECOND,
        atMost: 1.2,
      },
    ],
  },
  {
    name: 'batch-noisy',
    title: 'a wave of tasks that each slow one of two services',
    plan: fleet => basePlan(fleet, {load: 0.7, kinds: LOUD}),
    ratios: lateRatio,
  },
  {
    name: 'batch-noisy-full',
    title: 'the same with more work than room',
    plan: fleet => basePlan(fleet, {load: 1.3, kinds: LOUD}),
    ratios: lateRatio,
  },
  {
    name: 'batch-domain-out',
    title: 'a failure domain is taken out for three minutes',
    plan: fleet => ({
      ...basePlan(fleet, {load: 1.3}),
      faults: [
        {at: OUT_AT, run: run => run.setOut(fleet.failureDomains[0])},
        {at: BACK_AT, run: run => run.setOut()},
      ],
    }),
    reference: fleet => basePlan(fleet, {load: 1.3}),
    ratios: (runs, fleet) => [
      {
        name: 'work while out, per share of capacity left',
        value: workWhileOut(runs) / capacityLeft(fleet),
        atLeast: (capacityLeft(fleet) - 0.02) / capacityLeft(fleet),
      },
      {
        name: 'seconds until full pace after its return',
        value: secondsUntilFullPace(runs, BACK_AT / SECOND),
        atMost: 10,
      },
      wastedRatio(runs),
    ],
  },
  {
    name: 'batch-vm-loss',
    title: 'two VMs fail and are replaced after two minutes',
    plan: fleet => ({
      ...basePlan(fleet, {load: 1.3}),
      faults: ['vm1', 'vm5'].flatMap(vm => [
        {at: OUT_AT, run: crash(vm)},
        {at: OUT_AT + 2 * MINUTE, run: revive(vm)},
      ]),
    }),
    reference: fleet => basePlan(fleet, {load: 1.3}),
    ratios: runs => perCapacityLeft(runs, 1 - (2 * 2) / (VMS * 8)),
  },
  {
    name: 'batch-wrong-sizes',
    title: 'tasks use up to three times what they declare',
    plan: fleet => basePlan(fleet, {load: 1.1, kinds: SMALL_DECLARED}),
    reference: fleet => basePlan(fleet, {load: 1.1, kinds: WELL_DECLARED}),
    ratios: runs => perCapacityLeft(runs, 1),
  },
  {
    name: 'batch-black-hole',
    title: 'one worker fails everything it starts',
    plan: fleet => ({
      ...basePlan(fleet, {load: 1.3}),
      faults: [{at: 0, run: blackHole}],
    }),
    reference: fleet => basePlan(fleet, {load: 1.3}),
    ratios: runs => perCapacityLeft(runs, (VMS - 1) / VMS),
  },
  {
    name: 'batch-cancellations',
    title: 'half of all jobs are cancelled at once, twice',
    plan: fleet => ({
      ...basePlan(fleet, {load: 1.3}),
      faults: [2, 5].map(minute => {
        return {at: minute * MINUTE, run: run => run.cancelWave(0.5)};
      }),
    }),
    ratios: () => [],
  },
  {
    name: 'batch-store-outage',
    title: 'the store answers nothing for 60 s',
    plan: fleet => ({
      ...basePlan(fleet, {load: 1.3}),
      faults: [{at: OUT_AT, run: run => run.loseStore(MINUTE)}],
    }),
    reference: fleet => basePlan(fleet, {load: 1.3}),
    ratios: runs => [
      {
        name: 'seconds until full pace after its return',
        value: secondsUntilFullPace(runs, (OUT_AT + MINUTE) / SECOND),
      },
    ],
  },
  {
    name: 'batch-store-outage-long',
    title: 'the store answers nothing for 120 s: task leases end after 90 s',
    plan: fleet => ({
      ...basePlan(fleet, {load: 1.3}),
      faults: [{at: OUT_AT, run: run => run.loseStore(2 * MINUTE)}],
    }),
    reference: fleet => basePlan(fleet, {load: 1.3}),
    ratios: runs => [
      {
        name: 'seconds until full pace after its return',
        value: secondsUntilFullPace(runs, (OUT_AT + 2 * MINUTE) / SECOND),
      },
      ...withoutIt(runs),
    ],
  },
  {
    name: 'batch-entry-frozen',
    title: 'the owner of a third of the jobs is paused 30 s, replaced after 12',
    plan: fleet => ({
      ...basePlan(fleet, {load: 1.3}),
      faults: [
        {
          at: OUT_AT,
          run: run => run.freezeEntry(0, FROZEN_MILLIS, TAKE_OVER_MILLIS),
        },
      ],
    }),
    reference: fleet => basePlan(fleet, {load: 1.3}),
    ratios: withoutIt,
  },
  {
    name: 'batch-entry-killed-learned',
    title: 'the same death with wrong sizes and a worker that fails everything',
    plan: fleet => ({
      ...learnedPlan(fleet),
      faults: [
        ...learnedPlan(fleet).faults,
        {at: OUT_AT, run: run => run.killEntry(0, TAKE_OVER_MILLIS)},
      ],
    }),
    reference: learnedPlan,
    ratios: withoutIt,
  },
  {
    name: 'batch-entry-killed',
    title: 'the owner of a third of the jobs dies, is replaced after 12 s',
    plan: fleet => ({
      ...basePlan(fleet, {load: 1.3}),
      faults: [{at: OUT_AT, run: run => run.killEntry(0, TAKE_OVER_MILLIS)}],
    }),
    reference: fleet => basePlan(fleet, {load: 1.3}),
    ratios: withoutIt,
  },
  {
    name: 'batch-race',
    title: 'twelve shards race for the room of eleven VMs',
    plan: fleet => ({...basePlan(fleet, {load: 1.3}), shards: 12}),
    reference: fleet => ({...basePlan(fleet, {load: 1.3}), shards: 1}),
    ratios: ({product, reference}) => [
      {
        name: 'work against one shard',
        value: product.finishedWork / reference.finishedWork,
      },
    ],
  },
];

/** Every scenario at both sizes. */
export const batchScenarios: readonly Scenario[] = SCENARIOS.flatMap(scenario =>
  [ASANTEWAA, SFAX].map(fleet => ({
    name: `${scenario.name}-${fleet.name}`,
    description: scenario.title,
    run: seed => compareBatch(scenario, fleet, seed),
  })),
);

export function batchScenarioNamed(wanted: string): BatchScenario {
  const found = SCENARIOS.find(({name}) => name === wanted);
  if (found) return found;
  throw new Error(`No batch scenario is named "${wanted}".`);
}

function lateRatio({product, baseline}: BatchRuns): ScenarioRatio[] {
  const value = product.lateShare / baseline.lateShare;
  return [{name: 'late seconds of services against first fit', value}];
}

function wastedRatio({product}: BatchRuns): ScenarioRatio {
  const value = product.wastedShare;
  return {name: 'share of work wasted', value, atMost: 0.03};
}

function withoutIt(runs: BatchRuns): ScenarioRatio[] {
  const {product, reference} = runs;
  return [
    {
      name: 'work against the run without it',
      value: product.finishedWork / reference.finishedWork,
    },
    {
      name: 'starts of tasks that ran elsewhere',
      value: product.doubledStarts,
      atMost: 0,
    },
    wastedRatio(runs),
  ];
}

/** What has to be learned: true sizes, and the worker to stay away from. */
function learnedPlan(fleet: FleetSize) {
  return {
    ...basePlan(fleet, {load: 1.1, kinds: SMALL_DECLARED}),
    faults: [{at: 0, run: blackHole}],
  };
}

function blackHole(run: BatchSimulation): void {
  run.vms.get('vm2')!.blackHole = true;
}

function perCapacityLeft(runs: BatchRuns, left: number): ScenarioRatio[] {
  const {product, reference} = runs;
  const value = product.finishedWork / reference.finishedWork / left;
  return [
    {name: 'work per capacity left', value, atLeast: 0.95},
    wastedRatio(runs),
  ];
}

function workWhileOut({product, reference}: BatchRuns): number {
  const from = OUT_AT / SECOND;
  const to = BACK_AT / SECOND;
  return product.workBetween(from, to) / reference.workBetween(from, to);
}

/** Share of the VMs that are not in the first failure domain. */
function capacityLeft(fleet: FleetSize): number {
  const [out] = fleet.failureDomains;
  const left = fleetVms(fleet).filter(vm => vm.failureDomain !== out);
  return left.length / VMS;
}

function crash(vm: string) {
  return (run: BatchSimulation) => run.vms.get(vm)!.crash();
}

function revive(vm: string) {
  return (run: BatchSimulation) => run.vms.get(vm)!.revive();
}
