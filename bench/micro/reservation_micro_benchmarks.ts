import {SubmittedDurations} from '../../src/decisions/workflows/durations/submitted_durations.js';
import {GapReservations} from '../../src/decisions/workflows/gaps/gap_reservations.js';
import {ImageInterference} from '../../src/decisions/workflows/image_interference.js';
import {planPlacements} from '../../src/decisions/workflows/placement_planner.js';
import type {PlacementRound} from '../../src/decisions/workflows/placement_planner.js';
import {runKey} from '../../src/decisions/workflows/task_name.js';
import {taskNameOf, Workflow} from '../../src/decisions/workflows/workflow.js';
import {WorkflowOrder} from '../../src/decisions/workflows/workflow_order.js';
import type {StepSpec} from '../../src/decisions/workflows/workflow_types.js';
import {WorkerHealth} from '../../src/decisions/workflows/worker_health.js';
import {WorkerView} from '../../src/decisions/workflows/worker_view.js';
import {Random} from '../../src/utilities/random.js';
import type {MicroBenchmark} from '../scenario.js';

/** A third of the interval at which the owner plans at least, of 100 ms. */
const TARGET_MICROS = 33_000;
const WAITING_STEPS = 400;
/** One waiting step in this many has large tasks. */
const LARGE_INTERVAL = 20;
const RUNS_PER_WORKER = 24;
const ROUND_MILLIS = 100;
/** The runs of the full pool last longer than the measurement. */
const RUN_MILLIS = 3_600_000;

const TERMS = {
  service: 'service',
  priority: 1,
  maximumFailures: 3,
  stretch: 2,
  latencyTargetMillis: 1_000,
};

const Reservations = {
  OFF: 'off',
  HELD: 'held',
  MADE: 'made',
} as const;
type Reservations = (typeof Reservations)[keyof typeof Reservations];

export const reservationMicroBenchmarks: readonly MicroBenchmark[] = [
  55, 300,
].flatMap(workers =>
  Object.values(Reservations).map(kind => roundOver(workers, kind)),
);

/** One round over a full pool, in which no waiting step finds a worker. */
function roundOver(workers: number, kind: Reservations): MicroBenchmark {
  return {
    name: `round-${workers}-reservations-${kind}`,
    description:
      `a round of placement with ${WAITING_STEPS} waiting steps on ` +
      `${workers} full workers; reservations: ${kind}`,
    targetMicros: TARGET_MICROS,
    prepare(seed) {
      const round = fullRound(workers, new Random(seed));
      let now = 0;
      let reservations = newReservations(kind);
      return () => {
        now += ROUND_MILLIS;
        if (kind === Reservations.MADE) reservations = newReservations(kind);
        planPlacements({...round, reservations, now, wallNow: now});
        const isMissing = reservations?.held.length === 0;
        if (isMissing) throw new Error('No worker was reserved.');
      };
    },
  };
}

function newReservations(kind: Reservations): GapReservations | undefined {
  if (kind === Reservations.OFF) return undefined;
  return new GapReservations(new SubmittedDurations(), {
    onMade: () => {},
    onEnded: () => {},
  });
}

function fullRound(
  workerCount: number,
  random: Random,
): Omit<PlacementRound, 'now' | 'wallNow'> {
  const order = new WorkflowOrder();
  const workers: WorkerView[] = [];
  for (let index = 0; index < workerCount; index++) {
    workers.push(fullWorker(`worker${index}`, random));
  }
  const workflows: Workflow[] = [];
  for (let index = 0; index < WAITING_STEPS; index++) {
    const isLarge = index % LARGE_INTERVAL === 0;
    const cores = isLarge ? 8 : 1 + random.unit();
    const fills = random.below(2) === 0;
    const workflow = workflowOf(`waiting${index}`, {
      ...stepOf(cores, random),
      count: 20,
      fills,
    });
    order.record(workflow);
    workflows.push(workflow);
  }
  return {
    workflows,
    workers,
    health: new WorkerHealth(),
    interference: new ImageInterference(),
    order,
    termsOf: ({spec}) => spec.terms,
    mayPlace: () => true,
    workersThatFailed: () => new Set(),
    idleMillis: () => 0,
  };
}

/** Runs take the worker's processors, half of them as best effort. */
function fullWorker(key: string, random: Random): WorkerView {
  const view = new WorkerView(key, key, {
    incarnation: key,
    service: 'service',
    failureDomain: 'domain',
    rack: 'rack',
    labels: [],
    room: {milliprocessors: 16_000, memoryMegabytes: 64_000, accelerators: 0},
    draining: false,
    remainingMillis: 0,
  });
  for (let index = 0; index < RUNS_PER_WORKER; index++) {
    const step = {
      ...stepOf(1, random),
      estimateMillis: random.jitter(RUN_MILLIS, 0.5),
      fills: index % 3 === 0,
    };
    const workflow = workflowOf(`${key}run${index}`, step);
    const [reference] = workflow.tasks();
    const run = workflow.place(reference, key);
    const placement = reference.task.placementOf(run)!;
    const name = runKey(taskNameOf(reference), run);
    view.addRun(name, {reference, placement, isDurable: true, startedAt: 0});
  }
  return view;
}

function workflowOf(id: string, step: StepSpec): Workflow {
  return new Workflow({
    id,
    queue: 'queue',
    terms: TERMS,
    payload: '',
    steps: [step],
    acceptedAtMillis: 0,
  });
}

function stepOf(cores: number, random: Random): StepSpec {
  return {
    count: 1,
    size: {
      milliprocessors: Math.round(1_000 * cores),
      memoryMegabytes: 100,
      accelerators: 0,
    },
    estimateMillis: random.jitter(1_500, 0.5),
    after: [],
    checkpoints: true,
    gang: false,
    rackLocal: false,
    requiredLabel: '',
    dataRack: '',
    spreadLimit: 0,
    speculative: false,
    lasting: false,
    image: `image${random.below(18)}`,
    tailTargetMillis: 0,
    fills: false,
    mayMiss: 0,
  };
}
