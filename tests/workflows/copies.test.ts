import test from 'ava';
import type {ExecutionContext} from 'ava';
import fc from 'fast-check';
import {RunOutcome} from '../../src/backends/leased_worker.js';
import {SubmittedDurations} from '../../src/decisions/workflows/durations/submitted_durations.js';
import {ImageInterference} from '../../src/decisions/workflows/image_interference.js';
import {findRunsToMove} from '../../src/decisions/workflows/leaving_workers.js';
import {planPlacements} from '../../src/decisions/workflows/placement_planner.js';
import {runKey} from '../../src/decisions/workflows/task_name.js';
import type {Placement} from '../../src/decisions/workflows/task_state.js';
import {taskNameOf, Workflow} from '../../src/decisions/workflows/workflow.js';
import type {TaskReference} from '../../src/decisions/workflows/workflow.js';
import {
  decodeWorkflow,
  encodeProgress,
} from '../../src/decisions/workflows/workflow_codec.js';
import {WorkflowOrder} from '../../src/decisions/workflows/workflow_order.js';
import type {StepSpec} from '../../src/decisions/workflows/workflow_types.js';
import {WorkerHealth} from '../../src/decisions/workflows/worker_health.js';
import {WorkerView} from '../../src/decisions/workflows/worker_view.js';
import {formatTrace, RequestTrace} from '../../src/cli/request_trace.js';
import {Events} from '../../src/observability/events.js';
import type {FleetTaskBehavior} from './fixtures/fleet_worker.js';
import type {ObservedRun} from './fixtures/fleet_history.js';
import {progressKey} from '../../src/protocol/store_keys.js';
import {RecordingLogger} from './fixtures/recording_logger.js';
import {VirtualPool} from './fixtures/virtual_pool.js';
import {stepOf} from './fixtures/workflow_builders.js';

const ID = '00000000000000a1';
const SPECULATIVE = new Set([ID]);
const STRAGGLER = `${ID}.0.0.0`;
const TASK_MILLIS = 500;
/** By then the first runs of other tasks are done, and a copy has started. */
const COPY_STARTED_MILLIS = 1_400;

/** The other tasks make the first one look slow long before they are done. */
const SLOW_MILLIS = 6_000;
const SLOW_STEP = {EstimateMs: SLOW_MILLIS, Count: 3};

/** A pool with a step of four tasks, of which the first is a straggler. */
class CopyScenario {
  readonly logger = new RecordingLogger();
  readonly pool: VirtualPool;

  constructor(
    options: {entries?: number; copies?: boolean; seed?: number} = {},
  ) {
    const {copies = true, entries, seed = 21} = options;
    const {logger} = this;
    const features = {copies};
    this.pool = new VirtualPool({
      seed,
      workers: 4,
      entries,
      logger,
      features,
    });
  }

  /** Runs the step; the runs of the straggler take these times. */
  async start(
    runs: ReadonlyArray<Partial<FleetTaskBehavior>>,
    step: Record<string, unknown> = {},
    millis = COPY_STARTED_MILLIS,
  ): Promise<void> {
    const steps = [
      {
        Count: 4,
        Cpu: 500,
        MemMb: 100,
        EstimateMs: TASK_MILLIS,
        AntiAffinity: 1,
        Speculative: true,
        ...step,
      },
    ];
    const behavior = {
      millis: steps[0].EstimateMs,
      runs: Object.fromEntries(
        runs.map((run, index) => [runKey(STRAGGLER, index + 1), run]),
      ),
    };
    await this.pool.run(3_000);
    await this.pool.submit(ID, steps, behavior);
    await this.pool.run(millis);
  }

  get straggling(): ObservedRun[] {
    return this.pool.history.runs.filter(({task}) => task === STRAGGLER);
  }

  get outcomes(): Array<string | undefined> {
    return this.straggling.map(({outcome}) => outcome);
  }

  indexOf(run: number): number {
    const {worker} = this.straggling.find(each => each.run === run)!;
    return this.pool.workers.findIndex(({name}) => name === worker);
  }

  count(metric: string): number {
    let sum = 0;
    for (const metrics of this.pool.metrics.values()) {
      sum += metrics.counter(metric, '').value;
    }
    return sum;
  }

  async assertDone(t: ExecutionContext): Promise<void> {
    t.is(await this.pool.state(ID), 'done');
    t.true(this.pool.history.runs.every(({endedAt}) => endedAt !== undefined));
    t.deepEqual(this.pool.history.violations(SPECULATIVE), []);
  }
}

// Guards against a step that waits for its slowest run.
test('should end a task with the copy of a slow run, and count the waste', async t => {
  const scenario = new CopyScenario();
  await scenario.start([{millis: 3_500}], {}, 2_000);
  t.deepEqual(scenario.outcomes, ['stopped', 'done']);
  await scenario.assertDone(t);
  const [first, copy] = scenario.straggling;
  t.not(first.worker, copy.worker);
  t.is(scenario.logger.fieldsOf(Events.COPY_STARTED).length, 1);
  t.is(scenario.logger.fieldsOf(Events.COPY_WON)[0].stopped, 1);
  t.is(scenario.count('copies_started_total'), 1);
  t.is(scenario.count('copies_won_total'), 1);
  const ranMillis = first.endedAt! - first.startedAt;
  const wasted = scenario.count('copies_wasted_core_milliseconds_total');
  t.true(Math.abs(wasted - ranMillis / 2) < 50, `${wasted} of ${ranMillis}`);
});

// Guards against decisions that the feature changes although it is off.
test('should treat speculative steps like others while the switch is off', async t => {
  const histories: ObservedRun[][] = [];
  for (const Speculative of [false, true]) {
    const scenario = new CopyScenario({copies: false});
    await scenario.start([{millis: 3_500}], {Speculative}, 6_000);
    histories.push(scenario.pool.history.runs);
    t.deepEqual(scenario.pool.history.violations(), []);
  }
  t.deepEqual(histories[0], histories[1]);
});

// Guards against a second run where the caller allows one, by either owner.
test('should never have two runs of a step that is not speculative', async t => {
  const scenario = new CopyScenario({entries: 3});
  await scenario.start([{millis: 15_000}], {Speculative: false, Fills: true});
  scenario.pool.killEntry(scenario.pool.ownerName!);
  await scenario.pool.run(20_000);
  t.is(await scenario.pool.state(ID), 'done');
  t.deepEqual(scenario.outcomes, ['done']);
});

// Guards against an owner that forgets one of two runs, or starts a third.
test('should adopt both runs when the owner changes', async t => {
  const scenario = new CopyScenario({entries: 3});
  await scenario.start([{millis: 15_000}, {millis: 10_000}]);
  const owner = scenario.pool.ownerName!;
  scenario.pool.killEntry(owner);
  await scenario.pool.run(14_000);
  t.not(scenario.pool.ownerName, owner);
  t.deepEqual(scenario.outcomes, ['stopped', 'done']);
  t.is(scenario.count('copies_started_total'), 1);
  await scenario.assertDone(t);
});

// Guards against a new owner that knows no durations and so starts no copies.
test('should start a copy after the owner has changed', async t => {
  const scenario = new CopyScenario({entries: 3});
  await scenario.start([{millis: 15_000}], {}, 900);
  scenario.pool.killEntry(scenario.pool.ownerName!);
  await scenario.pool.run(9_000);
  t.deepEqual(scenario.outcomes, ['stopped', 'done']);
  await scenario.assertDone(t);
});

// Guards against a copy that stays although its start was carried out late.
test('should stop a copy whose start was unanswered when the first run ended', async t => {
  const cases = [
    {seed: 21, outageMillis: 1_000, outcomes: ['done']},
    // The start is carried out after 4 s, when the lease has nearly ended.
    {seed: 31, outageMillis: 6_000, outcomes: ['done', 'lapsed']},
  ];
  for (const {seed, outageMillis, outcomes} of cases) {
    const scenario = new CopyScenario({seed});
    const {pool} = scenario;
    await scenario.start([{millis: 1_700}, {millis: 30_000}], {}, 1_000);
    const first = scenario.indexOf(1);
    for (const [index, worker] of pool.workers.entries()) {
      if (index !== first) worker.faults.lateShare = 1;
    }
    await pool.run(1_000);
    t.is(scenario.count('copies_started_total'), 1);
    t.is(await pool.state(ID), 'done');
    t.not(pool.store.read(progressKey(ID)), undefined);
    await pool.run(outageMillis - 1_000);
    for (const worker of pool.workers) worker.faults.lateShare = 0;
    await pool.run(15_000);
    t.deepEqual(scenario.outcomes, outcomes);
    await scenario.assertDone(t);
    t.is(pool.store.read(progressKey(ID)), undefined);
  }
});

// Guards against a run of a task that is done, which nobody waits for.
test('should stop a run that is reported after its task was done', async t => {
  const scenario = new CopyScenario();
  const {pool} = scenario;
  await scenario.start([{millis: 600}], {}, 1_000);
  t.deepEqual(scenario.outcomes, ['done']);
  const index = (scenario.indexOf(1) + 1) % pool.workers.length;
  await pool.run(100);
  const worker = pool.workers[index];
  void worker.connect(worker.id).start({
    task: STRAGGLER,
    run: 2,
    payload: JSON.stringify({millis: 30_000}),
    checkpoint: '',
    ticket: '',
    leaseEnd: pool.clock.now() + 5_000,
    fencingToken: pool.fencingTokenOf(index),
  });
  await pool.run(3_000);
  t.deepEqual(scenario.outcomes, ['done', 'stopped']);
  t.true(scenario.straggling.every(({acknowledged}) => acknowledged));
  t.is(await pool.state(ID), 'done');
});

// Guards against an end that is never acknowledged, or counted twice.
test('should acknowledge both ends when both runs are done', async t => {
  const scenario = new CopyScenario();
  await scenario.start([{millis: 2_000}]);
  // The order to stop the first run does not arrive.
  const agent = `agent-${scenario.indexOf(1)}`;
  scenario.pool.links.partitioned.add(agent);
  await scenario.pool.run(1_000);
  t.is(await scenario.pool.state(ID), 'done');
  scenario.pool.links.partitioned.delete(agent);
  await scenario.pool.run(5_000);
  t.deepEqual(scenario.outcomes, ['done', 'done']);
  t.true(scenario.straggling.every(({acknowledged}) => acknowledged));
  t.is(scenario.logger.fieldsOf(Events.COPY_WON).length, 1);
  t.is(scenario.logger.fieldsOf(Events.COPY_LOST).length, 0);
  await scenario.assertDone(t);
});

// Guards against a late end that changes a task that is done.
test('should acknowledge the late end of a copy whose worker was cut off', async t => {
  const scenario = new CopyScenario();
  await scenario.start([{millis: 2_500}]);
  const agent = `agent-${scenario.indexOf(2)}`;
  scenario.pool.links.partitioned.add(agent);
  await scenario.pool.run(1_500);
  t.is(await scenario.pool.state(ID), 'done');
  scenario.pool.links.partitioned.delete(agent);
  await scenario.pool.run(5_000);
  t.deepEqual(scenario.outcomes, ['done', 'done']);
  t.true(scenario.straggling.every(({acknowledged}) => acknowledged));
  t.is(scenario.logger.fieldsOf(Events.COPY_LOST).length, 1);
  await scenario.assertDone(t);
});

// Guards against work that is thrown away and done again after a long outage.
test('should count the late success of a copy that was closed as lost', async t => {
  const scenario = new CopyScenario();
  const long = {millis: 40_000};
  await scenario.start([long, {}, long, long]);
  const agent = `agent-${scenario.indexOf(2)}`;
  scenario.pool.links.partitioned.add(agent);
  await scenario.pool.run(10_000);
  t.is(scenario.logger.fieldsOf(Events.RUN_LOST)[0].run, 2);
  t.is(await scenario.pool.state(ID), 'running');
  scenario.pool.links.partitioned.delete(agent);
  await scenario.pool.run(5_000);
  t.deepEqual(scenario.outcomes, ['stopped', 'done', 'stopped']);
  await scenario.assertDone(t);
});

// Guards against copies that fail a workflow of which the first run succeeds.
test('should go on with the first run when its copy fails', async t => {
  const scenario = new CopyScenario();
  const failing = {millis: 100, fails: true};
  await scenario.start([{millis: 3_500}, failing, failing, failing], {}, 5_000);
  t.deepEqual(scenario.outcomes, ['done', 'failed']);
  await scenario.assertDone(t);
});

// Guards against a run that goes on after the cancellation.
test('should stop both runs when the workflow is cancelled', async t => {
  const scenario = new CopyScenario();
  await scenario.start([{millis: 15_000}, {millis: 15_000}]);
  t.is(await scenario.pool.cancel(ID), 200);
  await scenario.pool.run(2_000);
  t.is(await scenario.pool.state(ID), 'cancelled');
  t.deepEqual(scenario.outcomes, ['stopped', 'stopped']);
  t.is(scenario.count('copies_wasted_core_milliseconds_total'), 0);
});

// Guards against a task that loses both runs, or a copy that is not replaced.
test('should replace a copy whose worker is drained and removed', async t => {
  const scenario = new CopyScenario();
  const long = {millis: 9_000};
  await scenario.start([long, long], {Checkpoints: true});
  const index = scenario.indexOf(2);
  scenario.pool.workers[index].faults.draining = true;
  await scenario.pool.run(2_000);
  t.deepEqual(scenario.outcomes, [undefined, undefined]);
  scenario.pool.removeWorker(index);
  await scenario.pool.run(4_000);
  t.deepEqual(scenario.outcomes, ['stopped', 'crashed', 'done']);
  await scenario.assertDone(t);
});

// Guards against the loss of the work of a slow run while there is room.
test('should give a slow run a copy rather than stop it', async t => {
  const scenario = new CopyScenario();
  await scenario.start([{millis: 21_000}], SLOW_STEP, 8_000);
  t.deepEqual(scenario.outcomes, ['stopped', 'done']);
  t.is(scenario.logger.fieldsOf(Events.RUN_STOPPED).length, 0);
  const [first, copy] = scenario.straggling;
  t.true(copy.startedAt - first.startedAt < SLOW_MILLIS / 2);
  await scenario.assertDone(t);
});

// Guards against slow runs that keep their workers while no copy has room.
test('should stop a slow run that has no room for a copy', async t => {
  const scenario = new CopyScenario();
  const large = {...SLOW_STEP, Cpu: 3_600};
  await scenario.start([{millis: 21_000}], large, 12_000);
  const [stopped] = scenario.logger.fieldsOf(Events.RUN_STOPPED);
  t.is(stopped.task, STRAGGLER);
  t.is(scenario.count('copies_started_total'), 0);
  t.deepEqual(scenario.pool.history.violations(), []);
});

// Guards against a trace that doesn't say why a task had two runs.
test('should name the run that a copy was made of in a trace', t => {
  const trace = new RequestTrace(ID);
  const usual = {process: 'entry'};
  const fields = {task: STRAGGLER, run: 2, worker: 'one'};
  trace.add({...usual, time: 1, name: 'RUN_PLACED', fields});
  const copied = {...fields, copyOf: 1};
  trace.add({...usual, time: 2, name: 'COPY_STARTED', fields: copied});
  t.regex(formatTrace(trace), /#2 on one: .*, a copy of run 1$/m);
});

/** Returns the time to the end of a step of forty tasks, one a straggler. */
async function stepMillis(
  copies: boolean,
  step: Record<string, unknown>,
): Promise<number> {
  const features = {copies};
  const pool = new VirtualPool({seed: 31, workers: 12, features});
  const behavior = {
    millis: 1_000,
    runs: {[runKey(STRAGGLER, 1)]: {millis: 7_000}},
  };
  await pool.run(3_000);
  const start = pool.clock.now();
  const common = {Count: 40, Cpu: 500, MemMb: 100, EstimateMs: 1_000};
  await pool.submit(ID, [{...common, ...step, Speculative: true}], behavior);
  while ((await pool.state(ID)) !== 'done') await pool.run(50);
  return pool.clock.now() - start;
}

// Load pattern: a straggler of seven times the median; see docs/design/copies.md.
test('should end a step of forty tasks sooner than without copies', async t => {
  const bestEffort = {Fills: true, Image: 'batch'};
  const before = await stepMillis(false, bestEffort);
  const after = await stepMillis(true, bestEffort);
  t.true(after < before / 2, `${after} ms after ${before} ms`);
  // Without copies, a slow run of another kind is stopped and run again.
  const stopped = await stepMillis(false, {});
  const copied = await stepMillis(true, {});
  t.true(copied <= stopped, `${copied} ms after ${stopped} ms`);
  t.log({before, after, stopped, copied});
});

const DURATIONS = new SubmittedDurations();

function workflowOf(step: Partial<StepSpec>): Workflow {
  const usual = stepOf({count: 4, speculative: true});
  return new Workflow({
    id: ID,
    queue: 'queue',
    terms: {
      service: 'service',
      priority: 1,
      maximumFailures: 3,
      stretch: 2,
      latencyTargetMillis: 1_000,
    },
    payload: '',
    steps: [{...usual, ...step}],
    acceptedAtMillis: 0,
  });
}

function workerOf(key: string, rack: string): WorkerView {
  return new WorkerView(key, key, {
    incarnation: key,
    service: 'service',
    failureDomain: 'domain',
    rack,
    labels: [],
    room: {
      milliprocessors: 8_000,
      memoryMegabytes: 10_000,
      accelerators: 0,
    },
    draining: false,
    remainingMillis: 0,
  });
}

/** An owner without store and network, which plans at the given time. */
class PlanningOwner {
  readonly views = new Map<string, WorkerView>();
  now = 0;
  ended: number[] = [];
  private startedAt = new Map<string, number>();

  constructor(
    public workflow: Workflow,
    racks: readonly string[],
  ) {
    for (const [index, rack] of racks.entries()) {
      const view = workerOf(`worker-${index}`, rack);
      this.views.set(view.key, view);
    }
  }

  /** Places runs and returns the names of their workers. */
  plan(): string[] {
    const planned = planPlacements({
      workflows: [this.workflow],
      workers: [...this.views.values()],
      health: new WorkerHealth(),
      interference: new ImageInterference(),
      order: new WorkflowOrder(),
      termsOf: ({spec}) => spec.terms,
      mayPlace: () => true,
      workersThatFailed: () => new Set<string>(),
      idleMillis: () => 0,
      now: this.now,
      wallNow: this.now,
      copies: {
        durations: {
          expected: DURATIONS,
          isSlow: () => false,
          ageMillis: placement => this.ageMillis(placement),
          endedMillis: () => this.ended,
        },
        rackOf: worker => this.views.get(worker)?.traits.rack,
      },
    });
    for (const {reference, worker} of planned) this.place(reference, worker);
    return planned.map(({worker}) => worker.key);
  }

  place(reference: TaskReference, worker: WorkerView): void {
    const run = this.workflow.place(reference, worker.key);
    const placement = reference.task.placementOf(run)!;
    const name = runKey(taskNameOf(reference), run);
    this.startedAt.set(keyOf(placement), this.now);
    worker.addRun(name, {reference, placement, isDurable: true});
  }

  /** Applies an end of a run; true if it has ended its task. */
  end(reference: TaskReference, run: number, outcome: RunOutcome): boolean {
    const {name, task} = reference;
    const wasDone = task.done;
    for (const view of this.views.values()) {
      view.removeRun(runKey(taskNameOf(reference), run));
    }
    const closing = {name, run, outcome, checkpoint: '', allowsCopies: true};
    this.workflow.close(closing, 1_000, this.now);
    return !wasDone && task.done;
  }

  /** Reads the workflow from its record, as a new owner does. */
  reload(): void {
    const progress = encodeProgress(this.workflow);
    this.workflow = decodeWorkflow(this.workflow.spec, progress);
  }

  private ageMillis(placement: Placement): number {
    return this.now - (this.startedAt.get(keyOf(placement)) ?? this.now);
  }
}

function keyOf({run, worker}: Placement): string {
  return `${run} ${worker}`;
}

/** Places a step and ends all but the last tasks after a second. */
function ownerWithStragglers(
  step: Partial<StepSpec>,
  racks: readonly string[],
  stragglers = 1,
): PlanningOwner {
  const owner = new PlanningOwner(workflowOf(step), racks);
  owner.plan();
  owner.now = 1_000;
  const references = [...owner.workflow.tasks()];
  for (const reference of references.slice(stragglers)) {
    owner.end(reference, 1, RunOutcome.DONE);
    owner.ended.push(1_000);
  }
  return owner;
}

// Guards against copies of tasks that are not late, or of which too few ended.
test('should copy a run only after twice the median and half of the tasks', t => {
  const owner = ownerWithStragglers({}, ['r1', 'r2', 'r3']);
  owner.now = 2_000;
  t.deepEqual(owner.plan(), []);
  owner.now = 2_001;
  t.is(owner.plan().length, 1);
  t.deepEqual(owner.plan(), []);
  const early = ownerWithStragglers({}, ['r1', 'r2', 'r3'], 3);
  early.now = 60_000;
  t.deepEqual(early.plan(), []);
  const underestimated = ownerWithStragglers({estimateMillis: 5_000}, [
    'r1',
    'r2',
  ]);
  underestimated.now = 5_000;
  t.deepEqual(underestimated.plan(), []);
});

// Guards against copies of tasks that can have one run only.
test('should not copy long-running tasks, gangs and tasks that have failed', t => {
  for (const step of [{lasting: true}, {gang: true}, {speculative: false}]) {
    const owner = ownerWithStragglers(step, ['r1', 'r2'], 2);
    for (const {task} of owner.workflow.tasks()) {
      if (task.placements.length === 0) task.done = true;
    }
    owner.now = 60_000;
    t.deepEqual(owner.plan(), []);
  }
  const failed = ownerWithStragglers({}, ['r1', 'r2']);
  [...failed.workflow.tasks()][0].task.failures = 1;
  failed.now = 60_000;
  t.deepEqual(failed.plan(), []);
});

// Guards against a copy that shares the fault of the first run's rack.
test('should place a copy on another worker, and on another rack if one has room', t => {
  const racks = ['r1', 'r1', 'r1', 'r2'];
  const owner = ownerWithStragglers({count: 3, spreadLimit: 1}, racks, 1);
  owner.now = 9_000;
  const [{task}] = owner.workflow.tasks();
  const first = task.placements[0].worker;
  const expected = first === 'worker-3' ? 'r1' : 'r2';
  const [copy] = owner.plan();
  t.is(owner.views.get(copy)!.traits.rack, expected);
  const alone = ownerWithStragglers({}, ['r1', 'r1']);
  alone.now = 9_000;
  const [{task: other}] = alone.workflow.tasks();
  const [placement] = other.placements;
  t.is(alone.plan().length, 1);
  t.not(other.placements[1].worker, placement.worker);
  // The first run's worker has room for a copy, which the budget allows.
  const size = {milliprocessors: 500, memoryMegabytes: 100, accelerators: 0};
  const single = ownerWithStragglers({size}, ['r1']);
  single.now = 9_000;
  t.deepEqual(single.plan(), []);
});

// Guards against copies that take the room of tasks that become ready.
test('should use no more than a tenth of the unused processors for copies', t => {
  const owner = ownerWithStragglers(
    {count: 20},
    ['r1', 'r2', 'r3', 'r4', 'r5'],
    8,
  );
  owner.now = 9_000;
  // Of 40 processors, 8 are used by the first runs.
  t.is(owner.plan().length, 3);
  t.deepEqual(owner.plan(), []);
});

// Guards against the checkpoint of a copy that is behind the other run.
test('should keep the checkpoint of a task while another run is placed', t => {
  const owner = ownerWithStragglers({checkpoints: true}, ['r1', 'r2', 'r3']);
  owner.now = 9_000;
  owner.plan();
  const [{name, task}] = owner.workflow.tasks();
  task.checkpoint = 'ahead';
  const outcome = RunOutcome.STOPPED;
  const closing = {name, run: 2, outcome, checkpoint: 'behind'};
  owner.workflow.close(closing, 3, owner.now);
  t.is(task.checkpoint, 'ahead');
  owner.workflow.close({...closing, run: 1, checkpoint: 'later'}, 3, 9_000);
  t.is(task.checkpoint, 'later');
});

// Guards against a drain that stops a run whose task goes on elsewhere.
test('should leave a run on a draining worker while another run goes on', t => {
  const owner = ownerWithStragglers({checkpoints: true}, ['r1', 'r2', 'r3']);
  const [{task}] = owner.workflow.tasks();
  const view = owner.views.get(task.placements[0].worker)!;
  view.traits = {...view.traits, draining: true};
  t.is(findRunsToMove(view, () => true).length, 1);
  owner.now = 9_000;
  owner.plan();
  t.is(findRunsToMove(view, () => true).length, 0);
  task.placements[1].stopping = true;
  t.is(findRunsToMove(view, () => true).length, 1);
});

/** One thing that happens to the runs of a workflow. */
interface RunEvent {
  readonly millis: number;
  readonly index: number;
  /** Negative for the latest run, otherwise any earlier number. */
  readonly run: number;
  readonly outcome: RunOutcome | 'lost' | 'reload';
}

const runEvents = fc.array(
  fc.record<RunEvent>({
    millis: fc.integer({min: 0, max: 3_000}),
    index: fc.integer({min: 0, max: 3}),
    run: fc.integer({min: -2, max: 6}),
    outcome: fc.constantFrom(...Object.values(RunOutcome), 'lost', 'reload'),
  }),
  {minLength: 10, maxLength: 60},
);

// Guards against a third run, a shared worker and an end that counts twice.
test('should count one end of a task and place at most two runs, whatever the order of ends', t => {
  const check = (events: RunEvent[], speculative: boolean): void => {
    const racks = ['r1', 'r1', 'r2', 'r2'];
    const owner = new PlanningOwner(workflowOf({speculative}), racks);
    const counted = [0, 0, 0, 0];
    for (const {millis, index, run, outcome} of events) {
      owner.now += millis;
      owner.plan();
      const reference = [...owner.workflow.tasks()][index];
      const {task, name} = reference;
      const number = run < 0 ? task.lastRun + 1 + run : run;
      if (outcome === 'reload') owner.reload();
      else if (outcome === 'lost') {
        owner.workflow.closeUnfinished(name, number);
      } else if (owner.end(reference, number, outcome)) counted[index]++;
      for (const {task} of owner.workflow.tasks()) {
        const workers = task.placements.map(({worker}) => worker);
        t.true(workers.length <= (speculative ? 2 : 1));
        t.is(new Set(workers).size, workers.length);
      }
    }
    const done = [...owner.workflow.tasks()].map(({task}) => task.done);
    t.deepEqual(
      counted,
      done.map(isDone => (isDone ? 1 : 0)),
    );
  };
  fc.assert(fc.property(runEvents, fc.boolean(), check), {
    seed: 7,
    numRuns: 150,
  });
});
