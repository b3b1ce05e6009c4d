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
const capacity = {...SIZE, milliprocessors: 1_000};
const JOB = {team: 'depot', job: 'build'};
const NAME = {...JOB, task: 0};
const ON_VM = {process: 'vm-1', vm: 'vm-1'};
const UP: Timed = {
  type: 'workerUp',
  vm: 'vm-1',
  failureDomain: 'tema',
  capacity,
};
const VM_LOST: Timed = {type: 'vmLost', vm: 'vm-1'};
const BEGIN: Timed = {type: 'shutdownBegin', ...ON_VM};
const END: Timed = {type: 'shutdownEnd', ...ON_VM};

function history(...observations: readonly Timed[]): HistoryEvent[] {
  return observations.map((observation, order) => ({
    ...observation,
    order,
    time: observation.at ?? order,
  }));
}

function task(
  type: 'taskStart' | 'taskFinish' | 'taskStop',
  vm: string,
  options: {attempt?: number; doneMillis?: number; task?: number} = {},
): Timed {
  const {attempt = 1, doneMillis = 0, task = 0} = options;
  return {type, vm, name: {...NAME, task}, attempt, size: SIZE, doneMillis};
}

function start(vm: string, options: Parameters<typeof task>[2] = {}): Timed {
  return task('taskStart', vm, options);
}

function closed(outcome: string, checkpointMillis = 0): Timed {
  const attempt = {name: NAME, attempt: 1, outcome, checkpointMillis};
  return {type: 'attemptClosed', ...attempt};
}

function ran(vm: string, at?: number): Timed {
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

function accepted(
  revision: number,
  at: number,
  ...domainsOut: string[]
): Timed {
  const texts = {branch: 'fleet', revision, domainsOut, drainedVms: []};
  return {type: 'settingsAccepted', ...texts, at};
}

function drained(revision: number, ...drainedVms: string[]): Timed {
  const texts = {branch: 'fleet', revision, domainsOut: [], drainedVms};
  return {type: 'settingsAccepted', ...texts};
}

function up(run: number): Timed {
  return {type: 'processUp', process: 'vm-1', run, at: 0};
}

function inForce(run: number, revision: number, at?: number): Timed {
  return {type: 'settingsInForce', process: 'vm-1', run, revision, at};
}

function jobAtEnd(phase: string): Timed {
  return {type: 'jobAtEnd', ...JOB, phase, summary: ''};
}

const DRAIN_ANSWERED: Timed = {type: 'drainAnswered', vm: 'vm-1'};
const CUT: Timed = {type: 'faultBegin', fault: 'cut', process: 'vm-1'};
const ONCE = {...JOB, idempotent: false, tasks: 1};
const DECLARED: Timed = {type: 'jobDeclared', ...ONCE};

/** A bad history for each checker, and the same one without the fault. */
const CASES: ReadonlyArray<{
  readonly checker: Checker;
  readonly bad: readonly Timed[];
  readonly good: readonly Timed[];
}> = [
  {
    checker: new CapacityChecker(),
    bad: [UP, start('vm-1'), start('vm-1', {task: 1})],
    good: [
      ...[UP, start('vm-1'), task('taskFinish', 'vm-1')],
      start('vm-1', {task: 1}),
    ],
  },
  {
    checker: new SinglePlaceChecker(),
    bad: [start('vm-1'), start('vm-2', {attempt: 2})],
    good: [start('vm-1'), VM_LOST, start('vm-2', {attempt: 2})],
  },
  {
    checker: new SinglePlaceChecker(),
    bad: [closed('finished'), start('vm-2', {attempt: 2})],
    good: [closed('lost'), start('vm-2', {attempt: 2})],
  },
  {
    checker: new ResumeChecker(),
    bad: [closed('evicted', 500), start('vm-2', {attempt: 2, doneMillis: 400})],
    good: [
      closed('evicted', 500),
      start('vm-2', {attempt: 2, doneMillis: 500}),
    ],
  },
  {
    checker: new FailureDomainChecker(),
    bad: [UP, accepted(3, 10, 'tema'), {...start('vm-1'), at: 5_011}],
    good: [UP, accepted(3, 10, 'tema'), {...start('vm-1'), at: 5_010}],
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
    bad: [response('notRun'), ran('vm-1')],
    good: [response('unknown'), ran('vm-1')],
  },
  {
    checker: new NotRunChecker(),
    bad: [closed('refused'), start('vm-1')],
    good: [closed('lost'), start('vm-1')],
  },
  {
    checker: new AtMostOnceChecker(),
    bad: [invoke(false), ran('vm-1'), ran('vm-2')],
    good: [invoke(true), ran('vm-1'), ran('vm-2')],
  },
  {
    checker: new AtMostOnceChecker(),
    bad: [DECLARED, start('vm-1'), closed('lost'), start('vm-2', {attempt: 2})],
    good: [
      ...[DECLARED, start('vm-1'), closed('evicted')],
      start('vm-2', {attempt: 2}),
    ],
  },
  {
    checker: new DrainingChecker(),
    bad: [{...BEGIN, at: 100}, ran('vm-1', 5_101)],
    good: [{...BEGIN, at: 100}, ran('vm-1', 5_100)],
  },
  {
    checker: new GracefulStopChecker(),
    bad: [UP, start('vm-1'), BEGIN, END],
    good: [UP, start('vm-1'), BEGIN, task('taskStop', 'vm-1'), END],
  },
  {
    checker: new GracefulStopChecker(),
    bad: [UP, start('vm-1'), BEGIN, CUT, END, {...up(2), at: 9_000}],
    good: [UP, start('vm-1'), BEGIN, CUT, END, up(2), {...up(3), at: 9_000}],
  },
  {
    checker: new GracefulStopChecker(),
    bad: [UP, BEGIN, CUT, END, start('vm-1')],
    good: [UP, BEGIN, CUT, END, up(2), start('vm-1')],
  },
  {
    checker: new GracefulStopChecker(),
    bad: [UP, BEGIN, CUT, {...up(2), at: 12_002}],
    good: [UP, BEGIN, CUT, {...up(2), at: 12_001}],
  },
  {
    checker: new SettingsChecker(),
    bad: [up(1), inForce(1, 9), inForce(1, 8)],
    good: [up(1), inForce(1, 9), up(2), inForce(2, 8)],
  },
  {
    checker: new SettingsChecker(),
    bad: [up(1), accepted(9, 100), ran('vm-1', 5_101)],
    good: [up(1), accepted(9, 100), inForce(1, 9, 5_099), ran('vm-1', 5_101)],
  },
  {
    checker: new SettingsChecker(),
    bad: [up(1), drained(8, 'vm-1'), DRAIN_ANSWERED, drained(9, 'vm-2')],
    good: [
      up(1),
      drained(8, 'vm-1'),
      DRAIN_ANSWERED,
      drained(9, 'vm-2', 'vm-1'),
    ],
  },
  {
    checker: new JobsEndChecker(),
    bad: [jobAtEnd('waiting')],
    good: [jobAtEnd('finished')],
  },
];

for (const [index, {checker, bad, good}] of CASES.entries()) {
  test(`should tell a bad history from a good one: ${checker.point}, case ${index}`, t => {
    const violations = checker.check(history(...bad));
    t.is(violations.length, 1);
    t.is(violations[0].point, checker.point);
    t.deepEqual(checker.check(history(...good)), []);
  });
}
