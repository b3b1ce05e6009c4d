import test from 'ava';
import {AtMostOnceChecker} from '../history/checkers/at_most_once_checker.js';
import {CapacityChecker} from '../history/checkers/capacity_checker.js';
import {DrainingChecker} from '../history/checkers/draining_checker.js';
import {FailureDomainChecker} from '../history/checkers/failure_domain_checker.js';
import {GracefulStopChecker} from '../history/checkers/graceful_stop_checker.js';
import {JobsEndChecker} from '../history/checkers/jobs_end_checker.js';
import {NotRunChecker} from '../history/checkers/not_run_checker.js';
import {ResumeChecker} from '../history/checkers/resume_checker.js';
import {SettingsChecker} from '../history/checkers/settings_checker.js';
import {SinglePlaceChecker} from '../history/checkers/single_place_checker.js';
import {WholeAnswerChecker} from '../history/checkers/whole_answer_checker.js';
import type {Checker, HistoryEvent, Observation} from '../history/history.js';

/** An observation at a time in milliseconds. */
type Timed = Observation & {readonly at?: number};

const SIZE = {milliprocessors: 600, memoryMegabytes: 10, accelerators: 0};
const WORKER_CAPACITY = {...SIZE, milliprocessors: 1_000};
const JOB = {team: 'depot', job: 'build'};
const NAME = {...JOB, task: 0};
const ON_VM = {process: 'vm-1', vm: 'vm-1'};
const WORKER_UP: Timed = {
  type: 'workerUp',
  vm: 'vm-1',
  failureDomain: 'tema',
  capacity: WORKER_CAPACITY,
};
const VM_LOST: Timed = {type: 'vmLost', vm: 'vm-1'};
const SHUTDOWN_BEGIN: Timed = {type: 'shutdownBegin', ...ON_VM};
const SHUTDOWN_END: Timed = {type: 'shutdownEnd', ...ON_VM};

function history(...observations: readonly Timed[]): HistoryEvent[] {
  return observations.map((observation, order) => ({
    ...observation,
    order,
    time: observation.at ?? order,
  }));
}

function taskEvent(
  type: 'taskStart' | 'taskFinish' | 'taskStop',
  vm: string,
  options: {attempt?: number; doneMillis?: number; task?: number} = {},
): Timed {
  const {attempt = 1, doneMillis = 0, task = 0} = options;
  return {type, vm, name: {...NAME, task}, attempt, size: SIZE, doneMillis};
}

function taskStart(
  vm: string,
  options: Parameters<typeof taskEvent>[2] = {},
): Timed {
  return taskEvent('taskStart', vm, options);
}

function attemptClosed(outcome: string, checkpointMillis = 0): Timed {
  const attempt = {name: NAME, attempt: 1, outcome, checkpointMillis};
  return {type: 'attemptClosed', ...attempt};
}

function requestRun(vm: string, at?: number): Timed {
  return {type: 'executorBegin', vm, requestId: 'r1', at};
}

function invoke(idempotent: boolean, body = ''): Timed {
  return {type: 'invoke', requestId: 'r1', idempotent, body};
}

function response(
  outcome: 'answered' | 'notRun' | 'unknown',
  body = '',
): Timed {
  return {type: 'response', requestId: 'r1', outcome, body};
}

function settingsAccepted(
  revision: number,
  at: number,
  ...domainsOut: string[]
): Timed {
  const fields = {branch: 'fleet', revision, domainsOut, drainedVms: []};
  return {type: 'settingsAccepted', ...fields, at};
}

function drainAccepted(revision: number, ...drainedVms: string[]): Timed {
  const fields = {branch: 'fleet', revision, domainsOut: [], drainedVms};
  return {type: 'settingsAccepted', ...fields};
}

function processUp(run: number): Timed {
  return {type: 'processUp', process: 'vm-1', run, at: 0};
}

function settingsInForce(run: number, revision: number, at?: number): Timed {
  return {type: 'settingsInForce', process: 'vm-1', run, revision, at};
}

function jobAtEnd(phase: string): Timed {
  return {type: 'jobAtEnd', ...JOB, phase, summary: ''};
}

const DRAIN_ANSWERED: Timed = {type: 'drainAnswered', vm: 'vm-1'};
const NETWORK_CUT: Timed = {type: 'faultBegin', fault: 'cut', process: 'vm-1'};
const NOT_IDEMPOTENT_JOB = {...JOB, idempotent: false, tasks: 1};
const JOB_DECLARED: Timed = {type: 'jobDeclared', ...NOT_IDEMPOTENT_JOB};

/** For each checker, a history with one violation, and the same without it. */
const CASES: ReadonlyArray<{
  readonly checker: Checker;
  readonly bad: readonly Timed[];
  readonly good: readonly Timed[];
}> = [
  {
    checker: new CapacityChecker(),
    bad: [WORKER_UP, taskStart('vm-1'), taskStart('vm-1', {task: 1})],
    good: [
      ...[WORKER_UP, taskStart('vm-1'), taskEvent('taskFinish', 'vm-1')],
      taskStart('vm-1', {task: 1}),
    ],
  },
  {
    checker: new SinglePlaceChecker(),
    bad: [taskStart('vm-1'), taskStart('vm-2', {attempt: 2})],
    good: [taskStart('vm-1'), VM_LOST, taskStart('vm-2', {attempt: 2})],
  },
  {
    checker: new SinglePlaceChecker(),
    bad: [attemptClosed('finished'), taskStart('vm-2', {attempt: 2})],
    good: [attemptClosed('lost'), taskStart('vm-2', {attempt: 2})],
  },
  {
    checker: new ResumeChecker(),
    bad: [
      attemptClosed('evicted', 500),
      taskStart('vm-2', {attempt: 2, doneMillis: 400}),
    ],
    good: [
      attemptClosed('evicted', 500),
      taskStart('vm-2', {attempt: 2, doneMillis: 500}),
    ],
  },
  {
    checker: new FailureDomainChecker(),
    bad: [
      WORKER_UP,
      settingsAccepted(3, 10, 'tema'),
      {...taskStart('vm-1'), at: 5_011},
    ],
    good: [
      WORKER_UP,
      settingsAccepted(3, 10, 'tema'),
      {...taskStart('vm-1'), at: 5_010},
    ],
  },
  {
    checker: new WholeAnswerChecker(),
    bad: [
      invoke(true, 'x'),
      response('answered', '{"requestId":"r2","echo":"x"}'),
    ],
    good: [
      invoke(true, 'x'),
      response('answered', '{"requestId":"r1","echo":"x"}'),
    ],
  },
  {
    checker: new NotRunChecker(),
    bad: [response('notRun'), requestRun('vm-1')],
    good: [response('unknown'), requestRun('vm-1')],
  },
  {
    checker: new NotRunChecker(),
    bad: [attemptClosed('refused'), taskStart('vm-1')],
    good: [attemptClosed('lost'), taskStart('vm-1')],
  },
  {
    checker: new AtMostOnceChecker(),
    bad: [invoke(false), requestRun('vm-1'), requestRun('vm-2')],
    good: [invoke(true), requestRun('vm-1'), requestRun('vm-2')],
  },
  {
    checker: new AtMostOnceChecker(),
    bad: [
      JOB_DECLARED,
      taskStart('vm-1'),
      attemptClosed('lost'),
      taskStart('vm-2', {attempt: 2}),
    ],
    good: [
      ...[JOB_DECLARED, taskStart('vm-1'), attemptClosed('evicted')],
      taskStart('vm-2', {attempt: 2}),
    ],
  },
  {
    checker: new DrainingChecker(),
    bad: [{...SHUTDOWN_BEGIN, at: 100}, requestRun('vm-1', 5_101)],
    good: [{...SHUTDOWN_BEGIN, at: 100}, requestRun('vm-1', 5_100)],
  },
  {
    checker: new GracefulStopChecker(),
    bad: [WORKER_UP, taskStart('vm-1'), SHUTDOWN_BEGIN, SHUTDOWN_END],
    good: [
      WORKER_UP,
      taskStart('vm-1'),
      SHUTDOWN_BEGIN,
      taskEvent('taskStop', 'vm-1'),
      SHUTDOWN_END,
    ],
  },
  {
    checker: new GracefulStopChecker(),
    bad: [
      WORKER_UP,
      taskStart('vm-1'),
      SHUTDOWN_BEGIN,
      NETWORK_CUT,
      SHUTDOWN_END,
      {...processUp(2), at: 9_000},
    ],
    good: [
      WORKER_UP,
      taskStart('vm-1'),
      SHUTDOWN_BEGIN,
      NETWORK_CUT,
      SHUTDOWN_END,
      processUp(2),
      {...processUp(3), at: 9_000},
    ],
  },
  {
    checker: new GracefulStopChecker(),
    bad: [
      WORKER_UP,
      SHUTDOWN_BEGIN,
      NETWORK_CUT,
      SHUTDOWN_END,
      taskStart('vm-1'),
    ],
    good: [
      WORKER_UP,
      SHUTDOWN_BEGIN,
      NETWORK_CUT,
      SHUTDOWN_END,
      processUp(2),
      taskStart('vm-1'),
    ],
  },
  {
    checker: new GracefulStopChecker(),
    bad: [
      WORKER_UP,
      SHUTDOWN_BEGIN,
      NETWORK_CUT,
      {...processUp(2), at: 12_002},
    ],
    good: [
      WORKER_UP,
      SHUTDOWN_BEGIN,
      NETWORK_CUT,
      {...processUp(2), at: 12_001},
    ],
  },
  {
    checker: new SettingsChecker(),
    bad: [processUp(1), settingsInForce(1, 9), settingsInForce(1, 8)],
    good: [
      processUp(1),
      settingsInForce(1, 9),
      processUp(2),
      settingsInForce(2, 8),
    ],
  },
  {
    checker: new SettingsChecker(),
    bad: [processUp(1), settingsAccepted(9, 100), requestRun('vm-1', 5_101)],
    good: [
      processUp(1),
      settingsAccepted(9, 100),
      settingsInForce(1, 9, 5_099),
      requestRun('vm-1', 5_101),
    ],
  },
  {
    checker: new SettingsChecker(),
    bad: [
      processUp(1),
      drainAccepted(8, 'vm-1'),
      DRAIN_ANSWERED,
      drainAccepted(9, 'vm-2'),
    ],
    good: [
      processUp(1),
      drainAccepted(8, 'vm-1'),
      DRAIN_ANSWERED,
      drainAccepted(9, 'vm-2', 'vm-1'),
    ],
  },
  {
    checker: new JobsEndChecker(),
    bad: [jobAtEnd('waiting')],
    good: [jobAtEnd('finished')],
  },
];

for (const [index, {checker, bad, good}] of CASES.entries()) {
  test(`should find one violation in a bad history and none in a good one: ${checker.point}, case ${index}`, t => {
    const violations = checker.check(history(...bad));
    t.is(violations.length, 1);
    t.is(violations[0].point, checker.point);
    t.deepEqual(checker.check(history(...good)), []);
  });
}
