import test from 'ava';
import type {ExecutionContext} from 'ava';
import {answerExplanation} from '../../src/daemon/explanation_responses.js';
import {createStateServer} from '../../src/daemon/state_server.js';
import type {PlacementExplanation} from '../../src/decisions/workflows/explaining/explanation.js';
import {explainPlacement} from '../../src/decisions/workflows/explaining/placement_explainer.js';
import type {UnusableWorker} from '../../src/decisions/workflows/explaining/placement_explainer.js';
import {ImageInterference} from '../../src/decisions/workflows/image_interference.js';
import {PlacementObstacle} from '../../src/decisions/workflows/placement_obstacle.js';
import {planPlacements} from '../../src/decisions/workflows/placement_planner.js';
import type {PlacementRound} from '../../src/decisions/workflows/placement_planner.js';
import {runKey} from '../../src/decisions/workflows/task_name.js';
import {taskNameOf, Workflow} from '../../src/decisions/workflows/workflow.js';
import {WorkflowOrder} from '../../src/decisions/workflows/workflow_order.js';
import type {
  StepSpec,
  WorkflowSpec,
} from '../../src/decisions/workflows/workflow_types.js';
import {WorkerHealth} from '../../src/decisions/workflows/worker_health.js';
import {WorkerView} from '../../src/decisions/workflows/worker_view.js';
import type {WorkerTraits} from '../../src/decisions/workflows/worker_view.js';
import {
  ExplanationStatus,
  notExplained,
} from '../../src/entry/workflows/explanation_result.js';
import type {PoolEntry} from '../../src/entry/workflows/pool_entry.js';
import {Metrics} from '../../src/observability/metrics.js';
import {decodeExplanationRequest} from '../../src/platform/explanation_requests.js';
import type {ExplanationRequest} from '../../src/platform/explanation_requests.js';
import {Random} from '../../src/utilities/random.js';
import {ShareLimit} from '../../src/utilities/share_limit.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {VirtualPool} from './fixtures/virtual_pool.js';

const TERMS = {
  service: 'service',
  priority: 1,
  maximumFailures: 3,
  stretch: 2,
  latencyTargetMillis: 1_000,
};
const ID = '00000000000000a1';

type StepChange = Omit<Partial<StepSpec>, 'size'> & {milliprocessors?: number};

function request(...changes: StepChange[]): ExplanationRequest {
  const steps = changes.map(({milliprocessors = 1_000, ...change}) => ({
    count: 1,
    size: {milliprocessors, memoryMegabytes: 100},
    estimateMillis: 1_000,
    ...change,
  }));
  const text = JSON.stringify({queue: 'queue', steps});
  return decodeExplanationRequest(text) as ExplanationRequest;
}

function specOf(id: string, ...changes: StepChange[]): WorkflowSpec {
  const {queue, steps} = request(...changes);
  return {id, queue, steps, terms: TERMS, payload: '', acceptedAtMillis: 0};
}

function workerOf(key: string, change: Partial<WorkerTraits> = {}): WorkerView {
  return new WorkerView(key, key, {
    incarnation: key,
    service: 'service',
    failureDomain: 'domain',
    rack: 'r1',
    labels: ['a'],
    room: {milliprocessors: 4_000, memoryMegabytes: 9_000, accelerators: 0},
    draining: false,
    remainingMillis: 0,
    ...change,
  });
}

function put(view: WorkerView, spec: WorkflowSpec, measure = 0): Workflow {
  const workflow = new Workflow(spec);
  const [reference] = workflow.tasks();
  const run = workflow.place(reference, view.key);
  const task = taskNameOf(reference);
  const placement = reference.task.placementOf(run)!;
  const name = runKey(task, run);
  view.addRun(name, {reference, placement, isDurable: true});
  view.running.set(name, {task, run, checkpoint: '', percent: 0, measure});
  return workflow;
}

function roundOf(
  workers: readonly WorkerView[],
  change: Partial<PlacementRound> = {},
): PlacementRound {
  return {
    workers,
    workflows: [],
    health: new WorkerHealth(),
    interference: new ImageInterference(),
    order: new WorkflowOrder(),
    termsOf: workflow => workflow.spec.terms,
    mayPlace: () => true,
    workersThatFailed: () => new Set(),
    idleMillis: () => 0,
    now: 0,
    wallNow: 0,
    ...change,
  };
}

function explain(
  round: PlacementRound,
  changes: StepChange[],
  unusableWorkers: readonly UnusableWorker[] = [],
): PlacementExplanation {
  const spec = specOf('explained', ...changes);
  return explainPlacement({round, spec, unusableWorkers});
}

/** A round with waiting workflows, runs, tails and a worker in a cooldown. */
function randomRound(random: Random): PlacementRound {
  const workers = Array.from({length: 12}, (_, index) =>
    workerOf(`worker-${index}`, {
      service: random.below(6) === 0 ? 'other' : 'service',
      rack: `r${random.below(3)}`,
      labels: random.below(2) === 0 ? ['a'] : ['b'],
    }),
  );
  const order = new WorkflowOrder();
  const workflows: Workflow[] = [];
  for (const [index, view] of workers.entries()) {
    const spec =
      random.below(2) === 0
        ? specOf(`run-${index}`, {tailTargetMillis: 100, image: 'served'})
        : specOf(`run-${index}`, randomStep(random));
    workflows.push(put(view, spec, random.below(80)));
    workflows.push(new Workflow(specOf(`new-${index}`, randomStep(random))));
  }
  for (const workflow of workflows) order.record(workflow);
  const health = new WorkerHealth();
  health.recordStall('worker-3', 0);
  return roundOf(workers, {workflows, order, health});
}

function randomStep(random: Random): StepChange {
  return {
    count: 1 + random.below(8),
    milliprocessors: 200 + random.below(2_000),
    estimateMillis: 100 + random.below(4_000),
    fills: random.below(2) === 0,
    gang: random.below(5) === 0,
    image: `image-${random.below(3)}`,
    requiredLabel: random.below(3) === 0 ? 'a' : '',
    rackLocal: random.below(3) === 0,
    spreadLimit: random.below(3),
  };
}

function describePlan(round: PlacementRound): string[] {
  return planPlacements(round).map(
    ({reference, worker}) => `${taskNameOf(reference)} ${worker.key}`,
  );
}

// Guards against an explanation by rules other than those of placement.
test('should say where the next round places the tasks', t => {
  let placed = 0;
  for (let seed = 1; seed <= 40; seed++) {
    const random = new Random(seed);
    const round = randomRound(random);
    const changes = [randomStep(random), randomStep(random)];
    const before = describePlan(round);
    const {steps} = explain(round, changes);
    t.deepEqual(describePlan(round), before);
    const workflow = new Workflow(specOf('explained', ...changes));
    round.order.record(workflow);
    const workflows = [...round.workflows, workflow];
    const expected = new Map<string, number>();
    for (const run of planPlacements({...round, workflows})) {
      if (run.reference.workflow !== workflow) continue;
      const key = `${run.reference.name.step} ${run.worker.key}`;
      expected.set(key, (expected.get(key) ?? 0) + 1);
      placed++;
    }
    const told = steps.flatMap(({step, ranked}) =>
      ranked
        .filter(({tasks}) => tasks > 0)
        .map(({worker, tasks}) => [`${step} ${worker}`, tasks] as const),
    );
    t.deepEqual(new Map(told.sort()), new Map([...expected].sort()), `${seed}`);
    for (const {tasks, placedTasks, waitsFor} of steps) {
      t.is(waitsFor === undefined, placedTasks === tasks);
    }
  }
  t.true(placed > 40);
});

// Guards against an order without the workflow, which changes its queue's mean.
test('should rank the workflow as after its acceptance', t => {
  const order = new WorkflowOrder();
  order.record(new Workflow(specOf('earlier', {estimateMillis: 2_400})));
  const begun = new Workflow(specOf('begun', {count: 4, estimateMillis: 500}));
  begun.occurrences.get(0)!.tasks[0][0].done = true;
  const room = {
    milliprocessors: 1_000,
    memoryMegabytes: 9_000,
    accelerators: 0,
  };
  const round = roundOf([workerOf('one', {room})], {workflows: [begun], order});
  const workflow = new Workflow(specOf('explained', {}));
  const workflows = [begun, workflow];
  t.is(planPlacements({...round, workflows})[0].reference.workflow, workflow);
  t.is(explain(round, [{}]).steps[0].placedTasks, 0);
  order.record(workflow);
  t.is(planPlacements({...round, workflows})[0].reference.workflow, begun);
});

// Guards against a reason that gets lost between the planner and the answer.
test('should say what rules each worker out', t => {
  const interference = new ImageInterference();
  for (let round = 0; round < 30; round++) {
    const sample = {image: 'served', ratio: 0.4, bestEffortShares: new Map()};
    const bestEffortShares = new Map([['heavy', 0.25]]);
    const after = {image: 'served', ratio: 1.8, bestEffortShares};
    interference.observe(sample, after, 500);
  }
  const health = new WorkerHealth();
  health.recordStall('cooldown', 0);
  const workers = Object.values(PlacementObstacle).map(key => workerOf(key));
  const byKey = new Map(workers.map(view => [view.key, view]));
  const find = (key: string): WorkerView => byKey.get(key)!;
  find('service').traits = workerOf('service', {service: 'other'}).traits;
  find('label').traits = workerOf('label', {labels: []}).traits;
  put(find('unused_processors'), specOf('u', {milliprocessors: 3_900}));
  const tail = {tailTargetMillis: 100, image: 'served', lasting: true};
  put(find('tail'), specOf('t', tail), 40);
  find('capacity').traits = workerOf('capacity', {
    room: {milliprocessors: 4_000, memoryMegabytes: 50, accelerators: 0},
  }).traits;
  const unusable = ['drain', 'evacuation', 'silence', 'detached'] as const;
  const usable = workers.filter(
    ({key}) => !(unusable as readonly string[]).includes(key),
  );
  const {steps} = explain(
    roundOf(usable, {health, interference}),
    [
      {
        count: 9,
        fills: true,
        image: 'heavy',
        requiredLabel: 'a',
        spreadLimit: 1,
      },
    ],
    unusable.map(obstacle => ({view: find(obstacle), obstacle})),
  );
  // Workers `spread` and `reservation` are suitable for a first task each.
  for (const {worker, obstacle, tasks} of steps[0].ranked) {
    const isSuitable = worker === 'spread' || worker === 'reservation';
    t.is(obstacle, isSuitable ? undefined : (worker as PlacementObstacle));
    t.is(tasks, isSuitable ? 1 : 0);
  }
  t.is(steps[0].ranked.at(-1)?.worker, 'service');
  t.is(steps[0].waitsFor?.workers.spread, 2);
  t.is(steps[0].waitsFor?.workers.cooldown, 1);
});

test('should say that a step waits for earlier steps or for a whole gang', t => {
  const round = roundOf([workerOf('one')]);
  const {steps} = explain(round, [
    {},
    {after: [0]},
    {gang: true, count: 9, milliprocessors: 500},
  ]);
  t.is(steps[0].waitsFor, undefined);
  t.like(steps[1], {placedTasks: 0, waitsFor: {kind: 'steps', steps: [0]}});
  t.is(steps[1].ranked[0].worker, 'one');
  t.like(steps[2].waitsFor, {kind: 'gang', workers: {capacity: 1}});
});

test('should mark workers on another rack than the data', t => {
  const workers = [workerOf('far', {rack: 'r2'}), workerOf('near')];
  const {steps} = explain(roundOf(workers), [{dataRack: 'r1'}]);
  t.deepEqual(
    steps[0].ranked.map(each => [each.worker, each.isOnOtherRack]),
    [
      ['near', false],
      ['far', true],
    ],
  );
});

// Guards against answers that grow with the pool.
test('should rank 20 of 600 workers and count the others by obstacle', t => {
  const workers = Array.from({length: 600}, (_, index) =>
    workerOf(`worker-${index}`, {service: index < 100 ? 'other' : 'service'}),
  );
  const explanation = explain(roundOf(workers), [{count: 100, spreadLimit: 1}]);
  const [step] = explanation.steps;
  t.is(step.ranked.length, 20);
  t.deepEqual(step.notRanked, {suitable: 480, service: 100});
  t.is(step.tasksNotRanked, 80);
  t.true(JSON.stringify(explanation).length < 10_000);
});

async function tellsWhatPlacementDoes(
  t: ExecutionContext,
  seed: number,
): Promise<void> {
  const pool = new VirtualPool({seed, workers: 4});
  await pool.run(3_000);
  const busy = {Count: 3, Cpu: 1_500, MemMb: 100, EstimateMs: 9_000};
  await pool.submit('00000000000000b1', [busy], {millis: 60_000});
  await pool.run(1_000);
  const owner = pool.ownerName!;
  const before = pool.dumpState(owner);
  const at = pool.clock.now();
  const step = {count: 4, milliprocessors: 900, estimateMillis: 500};
  const explanation = await pool.explain(owner, request(step));
  t.is(pool.clock.now(), at);
  t.deepEqual(pool.dumpState(owner), before);
  const other = pool.entryNames.find(name => name !== owner)!;
  const relayed = await pool.explain(other, request(step));
  t.deepEqual(placesIn(relayed), placesIn(explanation));
  t.true(relayed!.stateAgeMillis < 1_200);
  await pool.submit(ID, [{Count: 4, Cpu: 900, MemMb: 100, EstimateMs: 500}], {
    millis: 5_000,
  });
  await pool.run(200);
  const {pool: dump} = pool.dumpState(owner) as {
    pool: {workers: Array<{worker: string; runs: string[]}>};
  };
  const placed = dump.workers.flatMap(({worker, runs}) => {
    const tasks = runs.filter(run => run.startsWith(ID)).length;
    return tasks > 0 ? [[worker, tasks]] : [];
  });
  t.deepEqual(placesIn(explanation), placed.sort());
}

function placesIn(explanation: PlacementExplanation | undefined): unknown {
  return explanation!.steps[0].ranked
    .filter(({tasks}) => tasks > 0)
    .map(({worker, tasks}) => [worker, tasks])
    .sort();
}

for (const seed of [1, 2, 3]) {
  // Guards against an owner that explains another state than it places by.
  test(`should tell through any entry what the owner then does, seed ${seed}`, t =>
    tellsWhatPlacementDoes(t, seed));
}

test('should tell why workers are not usable at all', async t => {
  const pool = new VirtualPool({seed: 4, workers: 8});
  await pool.run(3_000);
  pool.workers[0].faults.draining = true;
  pool.workers[1].faults.silent = true;
  pool.killAgent(3);
  pool.store.write('op/evacuate/domain-2', '');
  await pool.run(2_500);
  const {steps, unusableWorkers} = (await pool.explain(
    pool.ownerName!,
    request({}),
  ))!;
  const obstacles = new Map(
    steps[0].ranked.map(({worker, obstacle}) => [
      worker.split('/')[0],
      obstacle,
    ]),
  );
  t.is(unusableWorkers, 5);
  t.is(obstacles.get('agent-0'), 'drain');
  t.is(obstacles.get('agent-1'), 'silence');
  t.is(obstacles.get('agent-2'), 'evacuation');
  t.is(obstacles.get('agent-3'), 'detached');
  t.is(obstacles.get('agent-4'), undefined);
});

test('should explain nothing without an owner', async t => {
  const pool = new VirtualPool({seed: 5});
  t.is(await pool.explain('entry-0', request({})), undefined);
  await pool.run(3_000);
  const owner = pool.ownerName!;
  const other = pool.entryNames.find(name => name !== owner)!;
  t.not(await pool.explain(other, request({})), undefined);
  pool.killEntry(owner);
  t.is(await pool.explain(other, request({})), undefined);
});

// Guards against an operator's script that takes the owner's core.
test('should run an action only within its share of the time', t => {
  const clock = new VirtualClock();
  const limit = new ShareLimit(clock, 0.1);
  const work = (): string => {
    clock.runUntil(clock.now() + 10);
    return 'done';
  };
  t.is(limit.run(work), 'done');
  t.is(limit.run(work), undefined);
  clock.runUntil(clock.now() + 89);
  t.is(limit.run(work), undefined);
  clock.runUntil(clock.now() + 1);
  t.is(limit.run(work), 'done');
});

async function openServer(
  t: ExecutionContext,
  entry: Pick<PoolEntry, 'explain'>,
): Promise<(init: RequestInit) => Promise<Response>> {
  const server = createStateServer({
    metrics: new Metrics(),
    dumpState: async () => '{}',
    explainPlacement: body => answerExplanation(entry, body),
  });
  const port = await server.listen('127.0.0.1', 0);
  t.teardown(() => server.close());
  return init => fetch(`http://127.0.0.1:${port}/placement/explain`, init);
}

// Guards against bad input that reaches the owner, or an answer without a cause.
test('should answer bad input with the field and a result code', async t => {
  const call = await openServer(t, {
    explain: async ({queue}) => {
      if (queue === 'busy') return notExplained(ExplanationStatus.BUSY);
      return queue === 'queue'
        ? notExplained(ExplanationStatus.NO_OWNER)
        : notExplained(ExplanationStatus.UNKNOWN_QUEUE);
    },
  });
  const step = {count: 1, size: {}};
  const invalid: ReadonlyArray<[field: string, body: unknown]> = [
    ['body', '{'],
    ['queue', {steps: [step]}],
    ['queue', {queue: 'none', steps: [step]}],
    ['steps', {queue: 'queue', steps: []}],
    ['steps', {queue: 'queue', steps: Array(21).fill(step)}],
    ['steps', {queue: 'queue', steps: Array(2).fill({...step, count: 9_000})}],
    ['steps.0.count', {queue: 'queue', steps: [{...step, count: 0}]}],
    ['steps.0.size.cpu', {queue: 'queue', steps: [{count: 1, size: {cpu: 1}}]}],
    ['steps.0.Count', {queue: 'queue', steps: [{...step, Count: 1}]}],
    ['steps.1.after', {queue: 'queue', steps: [step, {...step, after: [1]}]}],
  ];
  for (const [field, body] of invalid) {
    const text = typeof body === 'string' ? body : JSON.stringify(body);
    const response = await call({method: 'POST', body: text});
    t.is(response.status, 400, field);
    t.is(response.headers.get('x-result-code'), '100');
    t.like(await response.json(), {code: 100, field});
  }
  const body = JSON.stringify({queue: 'queue', steps: [step]});
  const unowned = await call({method: 'POST', body});
  t.is(unowned.status, 503);
  t.like(await unowned.json(), {code: 506, name: 'POOL_WITHOUT_OWNER'});
  const busyBody = JSON.stringify({queue: 'busy', steps: [step]});
  const busy = await call({method: 'POST', body: busyBody});
  t.is(busy.status, 503);
  t.is(busy.headers.get('retry-after'), '1');
  t.like(await busy.json(), {code: 507, name: 'OWNER_BUSY'});
  const read = await call({method: 'GET'});
  t.is(read.status, 405);
  t.is(read.headers.get('allow'), 'POST');
  const large = await call({method: 'POST', body: 'x'.repeat(70_000)});
  t.is(large.status, 413);
});
