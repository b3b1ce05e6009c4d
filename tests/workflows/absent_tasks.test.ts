import test from 'ava';
import {
  AbsenceReason,
  AbsentTasks,
} from '../../src/decisions/workflows/absent_tasks.js';
import type {AbsentTasksOptions} from '../../src/decisions/workflows/absent_tasks.js';
import type {WorkerView} from '../../src/decisions/workflows/worker_view.js';
import type {Workflow} from '../../src/decisions/workflows/workflow.js';
import {AbsentTaskReporter} from '../../src/entry/workflows/absent_task_reporter.js';
import {Events} from '../../src/observability/events.js';
import type {LogFields} from '../../src/observability/logger.js';
import {Metrics} from '../../src/observability/metrics.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {RecordingLogger} from './fixtures/recording_logger.js';
import {VirtualPool} from './fixtures/virtual_pool.js';
import {
  put,
  stepOf,
  workerOf,
  workflowOf,
} from './fixtures/workflow_builders.js';

const LASTING = stepOf({lasting: true});
const ID = '00000000000000e1';
const OTHER_ID = '00000000000000e2';
const STEP = {
  Count: 6,
  Cpu: 500,
  MemMb: 100,
  EstimateMs: 3_000,
  LongRunning: true,
};
const BEHAVIOR = {millis: 600_000, lasting: true};

function optionsOf(
  workflows: Workflow[],
  workers: WorkerView[] = [],
  change: Partial<AbsentTasksOptions> = {},
): AbsentTasksOptions {
  return {
    workflows: () => workflows,
    canPlace: () => true,
    mayPlace: () => true,
    absenceOf: () => undefined,
    viewOf: worker => workers.find(view => view.key === worker),
    ...change,
  };
}

/** Returns the reasons of all absent tasks. */
function reasonsOf(options: AbsentTasksOptions): AbsenceReason[] {
  const absentTasks = new AbsentTasks(options);
  absentTasks.update(1_000);
  return [...absentTasks.all.values()].map(({reason}) => reason);
}

/** A reporter for tasks that no worker takes, and what it reports. */
function reporterOf(
  workflows: Workflow[],
  change: Partial<ConstructorParameters<typeof AbsentTaskReporter>[0]> = {},
): {
  clock: VirtualClock;
  logger: RecordingLogger;
  metrics: Metrics;
  reporter: AbsentTaskReporter;
} {
  const clock = new VirtualClock();
  const logger = new RecordingLogger();
  const metrics = new Metrics();
  const reporter = new AbsentTaskReporter({
    ...optionsOf(workflows),
    clock,
    logger,
    metrics,
    countWorkers: () => ({capacity: 3}),
    ...change,
  });
  return {clock, logger, metrics, reporter};
}

/** Checks twice a second for this long, beginning now. */
function check(
  clock: VirtualClock,
  reporter: AbsentTaskReporter,
  millis: number,
): void {
  const end = clock.now() + millis;
  for (;;) {
    reporter.check();
    if (clock.now() >= end) return;
    clock.runUntil(clock.now() + 500);
  }
}

/** Starts a pool with a long-running workflow on all workers. */
async function startPool(
  seed: number,
  workers = 3,
): Promise<{pool: VirtualPool; logger: RecordingLogger}> {
  const logger = new RecordingLogger();
  const pool = new VirtualPool({seed, logger, workers});
  await pool.run(3_000);
  await pool.submit(ID, [STEP], BEHAVIOR);
  await pool.run(1_000);
  return {pool, logger};
}

function absencesOf(logger: RecordingLogger): LogFields[] {
  return logger.fieldsOf(Events.TASK_ABSENT);
}

/** Returns the absent tasks in the dump of the pool's owner. */
function dumpedTasks(pool: VirtualPool): Array<Record<string, unknown>> {
  const {pool: dump} = pool.dumpState(pool.ownerName!) as {
    pool: {absentTasks: Array<Record<string, unknown>>};
  };
  return dump.absentTasks;
}

// Guards against alarms about tasks that run, also across a take-over.
test('should log nothing while long-running tasks are at work', async t => {
  const {pool, logger} = await startPool(101);
  await pool.run(5_000);
  await pool.submit(OTHER_ID, [{...STEP, LongRunning: false}], {millis: 4_000});
  pool.killEntry(pool.ownerName!);
  await pool.run(15_000);
  t.is(await pool.state(OTHER_ID), 'done');
  t.deepEqual(absencesOf(logger), []);
  t.deepEqual(dumpedTasks(pool), []);
});

// Guards against a lost worker whose tasks wait for the end of its lease unseen.
test('should say that a task is placed on a worker whose agent is gone', async t => {
  const {pool, logger} = await startPool(102);
  pool.workers[0].crash();
  pool.killAgent(0);
  await pool.run(3_500);
  const lost = pool.history.runs.filter(({worker}) => worker === 'worker-0');
  t.true(lost.length > 0);
  const tasks = lost.map(({task}) => task).sort();
  t.deepEqual(
    absencesOf(logger)
      .map(({task}) => task)
      .sort(),
    tasks,
  );
  for (const fields of absencesOf(logger)) {
    t.is(fields.reason, AbsenceReason.AGENT_DETACHED);
    t.true(String(fields.worker).startsWith('agent-0/'));
    t.is(fields.run, 1);
    t.is(fields.absentMillis, 2_000);
    t.is(fields.absentTasks, tasks.length);
  }
  t.deepEqual(
    dumpedTasks(pool)
      .map(({task}) => task)
      .sort(),
    tasks,
  );
  await pool.run(10_000);
  t.is(absencesOf(logger).length, tasks.length);
  t.deepEqual(dumpedTasks(pool), []);
});

// Guards against the case of the incident: the agent has restarted, so that it
// looks well, but the worker is gone for good.
test('should say that no worker reports to an attached agent', async t => {
  const {pool, logger} = await startPool(103);
  pool.workers[0].crash();
  pool.restartAgent(0);
  await pool.run(4_000);
  t.deepEqual(
    new Set(absencesOf(logger).map(({reason}) => reason)),
    new Set([AbsenceReason.WORKER_UNREPORTED]),
  );
});

// Guards against a worker that is frozen while its agent stays attached.
test('should say that the worker of a task is silent', async t => {
  const {pool, logger} = await startPool(104);
  pool.workers[0].faults.silent = true;
  await pool.run(4_500);
  t.true(absencesOf(logger).length > 0);
  for (const {reason, worker} of absencesOf(logger)) {
    t.is(reason, AbsenceReason.WORKER_SILENT);
    t.true(String(worker).startsWith('agent-0/'));
  }
});

// Guards against a task that waits for room with no sign of what it lacks.
test('should count the workers by what keeps a task from them', async t => {
  const {pool, logger} = await startPool(105, 4);
  pool.workers[0].labels = ['special', 'r1'];
  pool.workers[1].faults.draining = true;
  pool.killAgent(2);
  await pool.run(2_000);
  const large = {...STEP, Count: 2, Cpu: 2_500, Requires: 'special'};
  await pool.submit(OTHER_ID, [large], BEHAVIOR);
  await pool.run(4_000);
  const [fields] = absencesOf(logger).filter(({task}) =>
    String(task).startsWith(OTHER_ID),
  );
  t.is(fields.reason, AbsenceReason.NOT_PLACED);
  t.is(fields.workers, 'capacity=1 detached=1 drain=1 label=1');
  t.is(fields.worker, undefined);
  const dumped = dumpedTasks(pool).find(({task}) => task === fields.task)!;
  const workers = {capacity: 1, label: 1, drain: 1, detached: 1};
  t.deepEqual(dumped.workers, workers);
});

// Guards against a limit of tasks on one worker that is taken for a full pool.
test('should tell the limit of tasks on one worker from missing room', async t => {
  const {pool, logger} = await startPool(106);
  await pool.submit(OTHER_ID, [{...STEP, Count: 4, AntiAffinity: 1}], BEHAVIOR);
  await pool.run(4_000);
  t.deepEqual(
    absencesOf(logger).map(({reason, workers}) => [reason, workers]),
    [[AbsenceReason.NOT_PLACED, 'spread=3']],
  );
});

// Guards against a cooldown of the only workers that nothing connects with the
// tasks that wait for its end.
test('should say that workers are in a cooldown', async t => {
  const {pool, logger} = await startPool(107);
  for (const worker of pool.workers) worker.faults.failing = true;
  const failing = {...STEP, Count: 6};
  await pool.submit(OTHER_ID, [failing], BEHAVIOR);
  // With fewer workflows the owner takes these for the reason.
  for (const id of ['00000000000000e3', '00000000000000e4'])
    await pool.submit(id, [failing], BEHAVIOR);
  await pool.run(6_000);
  const seen = absencesOf(logger).map(({workers}) => String(workers));
  t.true(seen.some(workers => workers.includes('cooldown=')));
});

// Guards against a run that is placed for ever, while its start is lost.
test('should tell a pending start and a pending stop from a task at work', t => {
  const view = workerOf('one');
  const workflow = workflowOf('w', [LASTING]);
  const name = put(view, workflow, 0);
  const options = optionsOf([workflow], [view]);
  t.deepEqual(reasonsOf(options), []);
  const [{task}] = workflow.tasks();
  task.placements[0].stopping = true;
  t.deepEqual(reasonsOf(options), [AbsenceReason.STOP_PENDING]);
  task.placements[0].stopping = false;
  view.running.clear();
  t.deepEqual(reasonsOf(options), [AbsenceReason.START_PENDING]);
  view.placed.get(name)!.isDurable = false;
  t.deepEqual(reasonsOf(options), [AbsenceReason.PLACEMENT_NOT_STORED]);
});

// Guards against a listed run that counts as at work although its worker is not
// known to live.
test('should pass on what keeps a worker from listing its runs', t => {
  const view = workerOf('one');
  const workflow = workflowOf('w', [LASTING]);
  put(view, workflow, 0);
  const replaced = optionsOf([workflow], [view], {
    absenceOf: () => AbsenceReason.WORKER_REPLACED,
  });
  t.deepEqual(reasonsOf(replaced), [AbsenceReason.WORKER_REPLACED]);
});

// Guards against the workers being blamed while the owner itself may not act.
test('should tell an invalid owner and a retry delay from missing workers', t => {
  const workflow = workflowOf('w', [LASTING]);
  t.deepEqual(reasonsOf(optionsOf([workflow])), [AbsenceReason.NOT_PLACED]);
  const delayed = optionsOf([workflow], [], {mayPlace: () => false});
  t.deepEqual(reasonsOf(delayed), [AbsenceReason.RETRY_DELAY]);
  const invalid = optionsOf([workflow], [], {canPlace: () => false});
  t.deepEqual(reasonsOf(invalid), [AbsenceReason.OWNER_INVALID]);
});

// Guards against alarms about tasks that are not due.
test('should ignore other tasks, later steps and ended workflows', t => {
  const waiting = workflowOf('w', [stepOf(), {...LASTING, after: [0]}]);
  const ended = workflowOf('e', [LASTING]);
  ended.cancel(0);
  t.deepEqual(reasonsOf(optionsOf([waiting, ended])), []);
});

// Guards against floods of events, and against a change that nobody hears of.
test('should log a task again only for a new reason, after a few seconds', t => {
  let isValid = true;
  const {clock, logger, reporter} = reporterOf([workflowOf('w', [LASTING])], {
    canPlace: () => isValid,
  });
  check(clock, reporter, 1_500);
  t.is(absencesOf(logger).length, 0);
  check(clock, reporter, 10_000);
  t.is(absencesOf(logger).length, 1);
  isValid = false;
  check(clock, reporter, 500);
  isValid = true;
  check(clock, reporter, 500);
  isValid = false;
  check(clock, reporter, 6_000);
  t.deepEqual(
    absencesOf(logger).map(({reason}) => reason),
    [AbsenceReason.NOT_PLACED, AbsenceReason.OWNER_INVALID],
  );
  const [first, second] = absencesOf(logger);
  t.is(first.absentMillis, 2_000);
  t.true(Number(second.absentMillis) >= 12_000);
  t.true(Number(second.reasonMillis) < Number(second.absentMillis));
});

// Guards against a task that waits for another cause than at first.
test('should log a task that is not placed again when its obstacles change', t => {
  let counts: Record<string, number> = {capacity: 3};
  const {clock, logger, reporter} = reporterOf([workflowOf('w', [LASTING])], {
    countWorkers: () => counts,
  });
  check(clock, reporter, 2_500);
  counts = {capacity: 2};
  check(clock, reporter, 6_000);
  counts = {capacity: 1, cooldown: 2};
  check(clock, reporter, 6_000);
  t.deepEqual(
    absencesOf(logger).map(({workers}) => workers),
    ['capacity=3', 'capacity=1 cooldown=2'],
  );
});

// Guards against an owner that is kept busy by the report of a large loss.
test('should bound the events and assessments of a check', t => {
  let assessed = 0;
  const {clock, logger, metrics, reporter} = reporterOf(
    [workflowOf('w', [{...LASTING, count: 12}])],
    {
      countWorkers: () => {
        assessed++;
        return {capacity: 3};
      },
    },
  );
  check(clock, reporter, 2_000);
  t.is(assessed, 5);
  t.deepEqual(
    absencesOf(logger).map(({absentTasks}) => absentTasks),
    Array.from({length: 5}, () => 12),
  );
  check(clock, reporter, 1_000);
  t.is(new Set(absencesOf(logger).map(({task}) => task)).size, 12);
  t.regex(metrics.render(), /lasting_tasks_absent\{reason="not_placed"\} 12\n/);
  reporter.close();
  t.regex(metrics.render(), /lasting_tasks_absent\{reason="not_placed"\} 0\n/);
});

// Guards against an operator who can't see how long a lease is still waited for.
test('should tell the time until a lease counts as expired', t => {
  const view = workerOf('one');
  const workflow = workflowOf('w', [LASTING]);
  put(view, workflow, 0);
  const {clock, logger, reporter} = reporterOf([workflow], {
    absenceOf: () => AbsenceReason.AGENT_DETACHED,
    leaseLeftMillis: worker => (worker === 'one' ? 4_321.4 : 0),
  });
  check(clock, reporter, 2_000);
  const [fields] = absencesOf(logger);
  t.is(fields.leaseLeftMillis, 4_321);
  t.like(reporter.dump()[0], {worker: 'one', leaseLeftMillis: 4_321});
});

// Guards against a task that is refused again and again, and is never reported
// as its reason changes with every check.
test('should report a task whose reason keeps changing', t => {
  let checks = 0;
  const {clock, logger, reporter} = reporterOf([workflowOf('w', [LASTING])], {
    mayPlace: () => checks++ % 2 === 0,
  });
  check(clock, reporter, 4_000);
  t.is(absencesOf(logger).length, 1);
});
