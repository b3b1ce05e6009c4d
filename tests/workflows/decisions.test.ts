import test from 'ava';
import {ImageInterference} from '../../src/decisions/workflows/image_interference.js';
import type {TailSample} from '../../src/decisions/workflows/image_interference.js';
import {BestEffortPacer} from '../../src/decisions/workflows/best_effort_pacer.js';
import {findRunsToMove} from '../../src/decisions/workflows/leaving_workers.js';
import {PlaceSearch} from '../../src/decisions/workflows/place_search.js';
import {planPlacements} from '../../src/decisions/workflows/placement_planner.js';
import type {PlannedRun} from '../../src/decisions/workflows/placement_planner.js';
import {
  ProgressMonitor,
  Stall,
} from '../../src/decisions/workflows/progress_monitor.js';
import {QueueTable} from '../../src/decisions/workflows/queue_table.js';
import {retryAfterSeconds} from '../../src/decisions/workflows/retry_after.js';
import {SlowedRunFinder} from '../../src/decisions/workflows/slowed_run_finder.js';
import type {SlowedRun} from '../../src/decisions/workflows/slowed_run_finder.js';
import {TailThrottle} from '../../src/decisions/workflows/tail_throttle.js';
import {
  formatTaskName,
  parseTaskName,
  runKey,
} from '../../src/decisions/workflows/task_name.js';
import {Workflow} from '../../src/decisions/workflows/workflow.js';
import type {PlacedRun} from '../../src/decisions/workflows/workflow.js';
import {
  decodeWorkflow,
  encodeProgress,
} from '../../src/decisions/workflows/workflow_codec.js';
import {
  compareRanks,
  ExpectedOutcome,
  WorkflowOrder,
} from '../../src/decisions/workflows/workflow_order.js';
import {WorkerHealth} from '../../src/decisions/workflows/worker_health.js';
import {WorkerView} from '../../src/decisions/workflows/worker_view.js';
import {Random} from '../../src/utilities/random.js';
import {
  put,
  stepOf,
  TERMS,
  workerOf,
  workflowOf,
} from './fixtures/workflow_builders.js';

function plan(
  workflows: Workflow[],
  workers: WorkerView[],
  change: {
    health?: WorkerHealth;
    interference?: ImageInterference;
    failedOn?: string;
    idleMillis?: number;
  } = {},
): PlannedRun[] {
  const order = new WorkflowOrder();
  for (const workflow of workflows) order.record(workflow);
  return planPlacements({
    workflows,
    workers,
    health: change.health ?? new WorkerHealth(),
    interference: change.interference ?? new ImageInterference(),
    order,
    termsOf: workflow => workflow.spec.terms,
    mayPlace: () => true,
    workersThatFailed: () => new Set(change.failedOn ? [change.failedOn] : []),
    idleMillis: () => change.idleMillis ?? 0,
    now: 0,
    wallNow: 0,
  });
}

/** Observes a best-effort image that starts to use a quarter of a worker. */
function observeStart(
  interference: ImageInterference,
  filling: string,
  before: number,
  after: number,
): void {
  interference.observe(
    {image: 'served', ratio: before, bestEffortShares: new Map()},
    {
      image: 'served',
      ratio: after,
      bestEffortShares: new Map([[filling, 0.25]]),
    },
    500,
  );
}

test('should never place more on a worker than its capacity', t => {
  const workers = [workerOf('one'), workerOf('two')];
  const planned = plan([workflowOf('a', [stepOf({count: 20})])], workers);
  t.is(planned.length, 8);
});

test('should place a step only when those before it are done', t => {
  const workflow = workflowOf('a', [stepOf(), stepOf({after: [0]})]);
  const planned = plan([workflow], [workerOf('one')]);
  t.deepEqual(
    planned.map(({reference}) => reference.name.step),
    [0],
  );
});

test('should respect the maximum tasks of a step on a worker', t => {
  const workers = [workerOf('one'), workerOf('two')];
  const steps = [stepOf({count: 6, spreadLimit: 1})];
  t.is(plan([workflowOf('a', steps)], workers).length, 2);
});

test('should place a task only on workers with its label and service', t => {
  const steps = [stepOf({requiredLabel: 'b'})];
  t.is(plan([workflowOf('a', steps)], [workerOf('one')]).length, 0);
  const elsewhere = workflowOf('a', [stepOf()], {
    terms: {...TERMS, service: 'other'},
  });
  t.is(plan([elsewhere], [workerOf('one')]).length, 0);
});

test('should place all members of a gang under one run or none', t => {
  const gang = workflowOf('a', [stepOf({count: 5, gang: true})]);
  t.is(plan([gang], [workerOf('one')]).length, 0);
  const planned = plan([gang], [workerOf('one'), workerOf('two')]);
  t.is(planned.length, 5);
  t.deepEqual([...new Set(planned.map(({run}) => run))], [1]);
});

test('should place a task elsewhere after it failed on a worker', t => {
  const workers = [workerOf('one', 8_000), workerOf('two')];
  const [planned] = plan([workflowOf('a', [stepOf()])], workers, {
    failedOn: 'one',
  });
  t.is(planned.worker.key, 'two');
});

test('should count half of the processors that latency-critical tasks reserve as unused', t => {
  const view = workerOf('one');
  const serving = workflowOf('s', [
    stepOf({
      lasting: true,
      tailTargetMillis: 50,
      size: {milliprocessors: 3_800, memoryMegabytes: 1, accelerators: 0},
    }),
  ]);
  put(view, serving, 10);
  const fills = workflowOf('f', [stepOf({count: 4, fills: true})]);
  const planned = plan([fills], [view]);
  t.true(planned.length >= 1);
  t.true(planned.length < 4);
});

test('should not place a best-effort image beside one that it interferes with', t => {
  const interference = new ImageInterference();
  for (let round = 0; round < 30; round++) {
    observeStart(interference, 'heavy', 0.4, 1.8);
    observeStart(interference, 'light', 0.4, 0.4);
  }
  const view = workerOf('one');
  const serving = workflowOf('s', [
    stepOf({lasting: true, tailTargetMillis: 100, image: 'served'}),
  ]);
  put(view, serving, 40);
  const fill = (image: string): Workflow =>
    workflowOf(image, [stepOf({fills: true, image})]);
  t.is(plan([fill('heavy')], [view], {interference}).length, 0);
  t.is(plan([fill('light')], [view], {interference}).length, 1);
});

test('should never add best-effort work where a tail is over its target', t => {
  const interference = new ImageInterference();
  for (let round = 0; round < 30; round++) {
    observeStart(interference, 'heavy', 0.4, 14);
  }
  // It has waited long enough to raise a tail that is below its target.
  const fill = workflowOf(
    'f',
    [stepOf({count: 3, fills: true, image: 'heavy'})],
    {acceptedAtMillis: -5_000},
  );
  const serving = workflowOf('s', [
    stepOf({lasting: true, tailTargetMillis: 100, image: 'served'}),
  ]);
  const view = workerOf('one', 16_000);
  const name = put(view, serving, 130);
  t.is(plan([fill], [view], {interference, idleMillis: 1_600}).length, 0);
  view.running.set(name, {...view.running.get(name)!, measure: 40});
  t.is(plan([fill], [view], {interference, idleMillis: 1_600}).length, 1);
});

test('should let no best-effort workflow starve while others use all unused processors', t => {
  const view = workerOf('one', 16_000);
  for (let index = 0; index < 16; index++) {
    put(view, workflowOf(`other-${index}`, [stepOf({fills: true})]), 1_000);
  }
  const starved = workflowOf('starved', [stepOf({count: 3, fills: true})]);
  const started = (idleMillis: number): number =>
    plan([starved], [view], {idleMillis}).length;
  t.is(started(0), 0);
  t.is(started(1_900), 0);
  t.is(started(2_100), 1);
});

test('should rank workflows by their value per unit of remaining work', t => {
  const order = new WorkflowOrder();
  const small = workflowOf('small', [stepOf()]);
  const large = workflowOf('large', [stepOf({count: 20})]);
  for (const workflow of [small, large]) order.record(workflow);
  const rank = (
    workflow: Workflow,
    now = 0,
  ): ReturnType<WorkflowOrder['rank']> =>
    order.rank(workflow, workflow.occurrences.get(0)!, TERMS, now);
  t.true(compareRanks(rank(small), rank(large)) < 0);
  t.is(rank(small).expectedOutcome, ExpectedOutcome.ON_TIME);
  t.is(rank(small, 2_500).expectedOutcome, ExpectedOutcome.LATE);
  t.is(rank(small, 60_000).expectedOutcome, ExpectedOutcome.NO_VALUE);
  t.true(compareRanks(rank(large), rank(small, 2_500)) < 0);
});

test('should slow the least important run and restore its pace later', t => {
  const interference = new ImageInterference();
  const pacer = new BestEffortPacer(interference, (left, right) =>
    left.reference.workflow.id < right.reference.workflow.id ? -1 : 1,
  );
  const view = workerOf('one', 16_000);
  const serving = workflowOf('s', [
    stepOf({lasting: true, tailTargetMillis: 100, image: 'served'}),
  ]);
  const servingName = put(view, serving, 40);
  const fill = (id: string): Workflow =>
    workflowOf(id, [stepOf({fills: true, image: 'heavy'})]);
  put(view, fill('first'), 1_000);
  const last = put(view, fill('second'), 1_000);
  t.deepEqual(pacer.decide(view, 0), []);
  const measure = (tail: number): void => {
    const run = view.running.get(servingName)!;
    view.running.set(servingName, {...run, measure: tail});
  };
  measure(130);
  const slowed = pacer.decide(view, 1_000);
  t.true(slowed.length > 0);
  t.true((view.paces.get(last) ?? 100) < 100);
  t.deepEqual(pacer.decide(view, 2_000), [], 'one decision a measurement');
  for (let second = 3; second < 20; second++) {
    measure(30 + second / 10);
    pacer.decide(view, second * 1_000);
  }
  t.is(view.paces.get(last), 100);
});

test('should slow many best-effort runs that each interfere little', t => {
  const interference = new ImageInterference();
  const pacer = new BestEffortPacer(interference, () => 0);
  const view = workerOf('one', 64_000);
  const serving = workflowOf('s', [
    stepOf({lasting: true, tailTargetMillis: 100, image: 'served'}),
  ]);
  put(view, serving, 130);
  for (let index = 0; index < 12; index++) {
    const fill = stepOf({fills: true, image: `image-${index}`});
    put(view, workflowOf(`fill-${index}`, [fill]), 1_000);
  }
  t.true(pacer.decide(view, 0).length > 0);
});

test('should restore the pace of a run that a previous owner slowed', t => {
  const pacer = new BestEffortPacer(new ImageInterference(), () => 0);
  const view = workerOf('one');
  const serving = workflowOf('s', [
    stepOf({lasting: true, tailTargetMillis: 100, image: 'served'}),
  ]);
  put(view, serving, 30);
  put(view, workflowOf('f', [stepOf({fills: true, image: 'light'})]), 100);
  const [decision] = pacer.decide(view, 0);
  t.true(decision.percent > 10);
});

test('should move paused runs that keep checkpoints', t => {
  const stalled = new SlowedRunFinder();
  const view = workerOf('one');
  const keeps = stepOf({fills: true, checkpoints: true});
  const name = put(view, workflowOf('a', [keeps]), 0);
  const other = put(view, workflowOf('b', [stepOf({fills: true})]), 0);
  view.paces.set(name, 0);
  view.paces.set(other, 0);
  t.deepEqual(stalled.find(view, 0), []);
  const isStanding = (each: SlowedRun): boolean => each.isStalled;
  t.false(stalled.find(view, 1_500).some(isStanding));
  const found = stalled.find(view, 2_500);
  t.deepEqual(
    found.map(({placed, isStalled}) => [
      placed.reference.workflow.id,
      isStalled,
    ]),
    [['a', true]],
  );
});

test('should offer to move a run slowed by half, but not repeatedly', t => {
  const stalled = new SlowedRunFinder();
  const view = workerOf('one');
  const keeps = stepOf({fills: true, checkpoints: true});
  const workflow = workflowOf('a', [keeps]);
  const name = put(view, workflow, 0);
  view.paces.set(name, 50);
  t.deepEqual(stalled.find(view, 0), []);
  const [found] = stalled.find(view, 1_200);
  t.false(found.isStalled);
  view.placed.get(name)!.reference.task.lastRun = 3;
  t.deepEqual(stalled.find(view, 2_400), []);
  view.paces.set(name, 100);
  t.deepEqual(stalled.find(view, 3_600), []);
});

test('should tell workers without interference from others', t => {
  const interference = new ImageInterference();
  const serving = (image: string): Workflow =>
    workflowOf(image, [stepOf({lasting: true, tailTargetMillis: 100, image})]);
  const here = workerOf('here', 16_000);
  const beside = workerOf('beside', 16_000);
  const empty = workerOf('empty', 16_000);
  put(beside, serving('served'), 30);
  const step = stepOf({fills: true, image: 'heavy'});
  const besideOnly = new PlaceSearch([here, beside], interference);
  t.true(besideOnly.hasPlaceElsewhere(here, step));
  t.false(besideOnly.hasInterferenceFreePlaceElsewhere(here, step));
  const all = new PlaceSearch([here, beside, empty], interference);
  t.true(all.hasInterferenceFreePlaceElsewhere(here, step));
});

test('should learn which images interfere although tails vary', t => {
  const random = new Random(7);
  const noise = (): number =>
    0.24 * (Array.from({length: 12}, () => random.unit()).reduce(add) - 6);
  const interference = new ImageInterference();
  const pressures = {heavy: 3, light: 0};
  for (const [filling, pressure] of Object.entries(pressures)) {
    let before = 0;
    for (let sample = 0; sample < 60; sample++) {
      const share = sample % 2 === 0 ? 0.22 : 0;
      const change = pressure * (share - before) + noise();
      const shares = (each: number): ReadonlyMap<string, number> =>
        new Map([[filling, each]]);
      interference.observe(
        {image: 'served', ratio: 0.4, bestEffortShares: shares(before)},
        {
          image: 'served',
          ratio: 0.4 * Math.exp(change),
          bestEffortShares: shares(share),
        },
        500,
      );
      before = share;
    }
  }
  t.true(interference.isCertain('served', 'light'));
  t.is(interference.interferenceOf('served', 'light'), 0);
  const heavy = interference.interferenceOf('served', 'heavy');
  t.true(heavy > 2 && heavy < 4);
});

function add(left: number, right: number): number {
  return left + right;
}

test('should tell an interfering image from variations of the load', t => {
  const interference = new ImageInterference();
  const random = new Random(1);
  let own = 0.4;
  let before: TailSample | undefined;
  for (let round = 0; round < 400; round++) {
    own = Math.min(0.8, Math.max(0.25, own + 0.06 * (random.unit() - 0.5)));
    // The two images start and end alternately.
    const heavy = round % 20 < 10 ? 0.1 : 0;
    const light = round % 14 < 7 ? 0.3 : 0;
    const sample = {
      image: 'served',
      ratio: own * Math.exp(8 * heavy + 0.1 * light),
      bestEffortShares: new Map([
        ['heavy', heavy],
        ['light', light],
      ]),
    };
    if (before) interference.observe(before, sample, 500);
    before = sample;
  }
  const heavy = interference.interferenceOf('served', 'heavy');
  const light = interference.interferenceOf('served', 'light');
  t.true(heavy > 6.5 && heavy < 9.5, `${heavy}`);
  t.true(light < 0.5, `${light}`);
});

test('should learn nothing from a tail that changes without best-effort changes', t => {
  const interference = new ImageInterference();
  const first = interference.interferenceOf('served', 'filling');
  const bestEffortShares = new Map([['filling', 0.2]]);
  for (const ratio of [0.3, 0.9, 1.6, 0.5]) {
    interference.observe(
      {image: 'served', ratio: 0.4, bestEffortShares},
      {image: 'served', ratio, bestEffortShares},
      500,
    );
  }
  t.is(interference.interferenceOf('served', 'filling'), first);
});

test('should not slow a run that does not interfere with the tail at risk', t => {
  const interference = new ImageInterference();
  for (let round = 0; round < 30; round++) {
    observeStart(interference, 'heavy', 0.4, 1.8);
    observeStart(interference, 'light', 0.4, 0.4);
  }
  const pacer = new BestEffortPacer(interference, () => 0);
  const view = workerOf('one', 16_000);
  const serving = workflowOf('s', [
    stepOf({lasting: true, tailTargetMillis: 100, image: 'served'}),
  ]);
  put(view, serving, 130);
  const fill = (id: string, image: string): Workflow =>
    workflowOf(id, [stepOf({fills: true, image})]);
  const heavy = put(view, fill('h', 'heavy'), 2_000);
  const light = put(view, fill('l', 'light'), 2_000);
  pacer.decide(view, 0);
  t.true((view.paces.get(heavy) ?? 100) < 100);
  t.is(view.paces.get(light) ?? 100, 100);
});

test('should slow all best-effort runs when a high tail stays unexplained', t => {
  const interference = new ImageInterference();
  for (let round = 0; round < 30; round++) {
    observeStart(interference, 'light', 0.4, 0.4);
  }
  const pacer = new BestEffortPacer(interference, () => 0);
  const view = workerOf('one', 16_000);
  const serving = workflowOf('s', [
    stepOf({lasting: true, tailTargetMillis: 100, image: 'served'}),
  ]);
  const name = put(view, serving, 150);
  const light = stepOf({fills: true, image: 'light'});
  const fill = put(view, workflowOf('l', [light]), 1_000);
  for (let millis = 0; millis <= 3_900; millis += 300) {
    const run = view.running.get(name)!;
    view.running.set(name, {...run, measure: 150 + millis / 1_000});
    pacer.decide(view, millis);
    if (millis < 1_000) t.is(view.paces.get(fill) ?? 100, 100);
  }
  // A tail may be over its target for 4 s.
  t.is(view.paces.get(fill), 0);
});

test('should place a task that does not interfere beside a tail over its target', t => {
  const interference = new ImageInterference();
  for (let round = 0; round < 30; round++) {
    observeStart(interference, 'heavy', 0.4, 1.8);
    observeStart(interference, 'light', 0.4, 0.4);
  }
  const view = workerOf('one', 16_000);
  const serving = workflowOf('s', [
    stepOf({lasting: true, tailTargetMillis: 100, image: 'served'}),
  ]);
  put(view, serving, 120);
  const fill = (image: string): Workflow =>
    workflowOf(image, [stepOf({fills: true, image})]);
  t.is(plan([fill('light')], [view], {interference}).length, 1);
  t.is(plan([fill('heavy')], [view], {interference}).length, 0);
});

test('should place a best-effort image where it interferes least', t => {
  const interference = new ImageInterference();
  for (let round = 0; round < 30; round++) {
    observeStart(interference, 'heavy', 0.4, 1.8);
    interference.observe(
      {image: 'calm', ratio: 0.4, bestEffortShares: new Map()},
      {image: 'calm', ratio: 0.4, bestEffortShares: new Map([['heavy', 0.25]])},
      500,
    );
  }
  const serve = (image: string): Workflow =>
    workflowOf(image, [stepOf({lasting: true, tailTargetMillis: 100, image})]);
  // The other worker has more unused processors.
  const touchy = workerOf('touchy', 17_000);
  const calm = workerOf('calm', 16_000);
  put(touchy, serve('served'), 30);
  put(calm, serve('calm'), 30);
  const heavy = workflowOf('h', [stepOf({fills: true, image: 'heavy'})]);
  const [planned] = plan([heavy], [touchy, calm], {interference});
  t.is(planned.worker.key, 'calm');
});

test('should move long-running tasks and checkpointed ones from a draining worker', t => {
  const view = workerOf('one');
  view.traits = {...view.traits, draining: true, remainingMillis: 3_000};
  const lasts = put(view, workflowOf('a', [stepOf({lasting: true})]), 0, 100);
  const keeps = stepOf({checkpoints: true, estimateMillis: 4_000});
  const long = put(view, workflowOf('b', [keeps]), 0, 10);
  put(view, workflowOf('c', [keeps]), 0, 80);
  put(view, workflowOf('d', [stepOf({estimateMillis: 9_000})]), 0, 10);
  const names = (found: PlacedRun[]): string[] =>
    found.map(({reference, placement}) =>
      runKey(formatTaskName(reference.name), placement.run),
    );
  t.deepEqual(names(findRunsToMove(view, () => true)), [lasts, long]);
  t.deepEqual(
    findRunsToMove(view, () => false),
    [],
  );
  view.traits = {...view.traits, draining: false};
  t.deepEqual(
    findRunsToMove(view, () => true),
    [],
  );
});

test('should increase the retry delay with the length of a store outage', t => {
  t.is(retryAfterSeconds(0), 1);
  t.is(retryAfterSeconds(900), 1);
  t.is(retryAfterSeconds(2_100), 3);
  t.is(retryAfterSeconds(60_000), 4);
});

test('should start a cooldown after failures of different workflows', t => {
  const health = new WorkerHealth();
  t.false(health.recordFailure('one', 'a', 0));
  t.false(health.recordFailure('one', 'a', 100));
  t.true(health.recordFailure('one', 'b', 200));
  t.is(health.allowance('one', 0, 300), 0);
  t.is(health.allowance('one', 0, 3_300), 1);
  t.is(health.allowance('one', 1, 3_300), 0);
  t.true(health.recordFailure('one', 'c', 3_400));
  t.is(health.allowance('one', 0, 9_000), 0);
  health.recordSuccess('one');
  t.is(health.allowance('one', 0, 9_000), Infinity);
});

test('should find a task without progress, and one slower than its siblings', t => {
  const watch = new ProgressMonitor();
  const workflow = workflowOf('a', [stepOf({count: 4})]);
  const views = ['one', 'two', 'three', 'four'].map(key => workerOf(key));
  const names = views.map((view, index) => {
    const reference = [...workflow.tasks()][index];
    const run = workflow.place(reference, view.key);
    const placement = reference.task.placementOf(run)!;
    const task = formatTaskName(reference.name);
    view.addRun(runKey(task, run), {reference, placement, isDurable: true});
    return {task, run, name: runKey(task, run)};
  });
  const found = new Map<string, Stall>();
  const speeds = [0.06, 0.06, 0.006, 0];
  for (let now = 0; now <= 1_600; now += 400) {
    for (const [index, view] of views.entries()) {
      const {task, run, name} = names[index];
      const percent = Math.floor(now * speeds[index]);
      view.running.set(name, {task, run, checkpoint: '', percent, measure: 0});
      for (const {stall} of watch.observe(view, now))
        found.set(view.key, stall);
    }
  }
  t.deepEqual(
    [...found],
    [
      ['three', Stall.SLOW],
      ['four', Stall.NO_PROGRESS],
    ],
  );
});

test('should halve best-effort paces without an owner when a tail is over its target', t => {
  const throttle = new TailThrottle();
  t.is(throttle.decide([{tailMillis: 60, targetMillis: 50}]), 50);
  t.is(throttle.decide([{tailMillis: 20, targetMillis: 50}]), 50);
  t.is(throttle.decide([{tailMillis: 20, targetMillis: 50}]), 70);
});

test('should find the queue with the longest prefix', t => {
  const queue = {
    ...TERMS,
    name: 'short',
    host: 'a.example',
    prefix: '/x/',
    timeoutMillis: 1,
  };
  const table = new QueueTable({
    version: 1,
    queues: [queue, {...queue, name: 'long', prefix: '/x/y/'}],
    services: [],
    maximumBodyBytes: 1,
    maximumHeaderBytes: 1,
  });
  t.is(table.find('A.example:80', '/x/y/z')?.name, 'long');
  t.is(table.find('a.example', '/x/z')?.name, 'short');
  t.is(table.find('b.example', '/x/z'), undefined);
});

test('should decode the progress of a workflow as encoded', t => {
  const workflow = workflowOf('a', [stepOf({count: 3}), stepOf({after: [0]})]);
  const references = [...workflow.tasks()];
  workflow.place(references[0], 'one');
  workflow.place(references[1], 'two');
  const name = references[0].name;
  workflow.close({name, run: 1, outcome: 'done', checkpoint: ''}, 3, 5);
  const again = decodeWorkflow(workflow.spec, encodeProgress(workflow));
  t.is(encodeProgress(again), encodeProgress(workflow));
  t.true([...again.tasks()][0].task.done);
  t.is([...again.tasks()][1].task.placements[0].worker, 'two');
});

test('should open the occurrences of a schedule when due', t => {
  const schedule = {times: 3, firstAtMillis: 1_000, intervalMillis: 500};
  const workflow = workflowOf('a', [stepOf()], {schedule});
  t.false(workflow.openDue(999));
  t.true(workflow.openDue(1_500));
  t.is(workflow.occurrences.size, 2);
  t.false(workflow.openDue(1_500));
});

test('should parse only names of tasks', t => {
  t.deepEqual(parseTaskName('abc.0.1.17'), {
    workflow: 'abc',
    occurrence: 0,
    step: 1,
    index: 17,
  });
  t.is(parseTaskName('abc.0.1'), undefined);
  t.is(parseTaskName('abc.0.x.1'), undefined);
});
