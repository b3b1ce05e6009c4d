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
const CAPACITY = {
  milliprocessors: 1_000,
  memoryMegabytes: 100,
  accelerators: 0,
};
const NAME = {team: 'depot', job: 'build', task: 0};
const UP: Timed = {
  type: 'workerUp',
  vm: 'vm-1',
  failureDomain: 'tema',
  capacity: CAPACITY,
};

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

function closed(outcome: string, checkpointMillis = 0): Timed {
  return {
    type: 'attemptClosed',
    name: NAME,
    attempt: 1,
    outcome,
    checkpointMillis,
  };
}

/** A bad history for each checker, and the same one without the fault. */
const CASES: ReadonlyArray<{
  readonly checker: Checker;
  readonly bad: readonly Timed[];
  readonly good: readonly Timed[];
}> = [
  {
    checker: new CapacityChecker(),
    bad: [
      UP,
      taskEvent('taskStart', 'vm-1'),
      taskEvent('taskStart', 'vm-1', {task: 1}),
    ],
    good: [
      UP,
      taskEvent('taskStart', 'vm-1'),
      taskEvent('taskFinish', 'vm-1'),
      taskEvent('taskStart', 'vm-1', {task: 1}),
    ],
  },
  {
    checker: new SinglePlaceChecker(),
    bad: [
      taskEvent('taskStart', 'vm-1'),
      taskEvent('taskStart', 'vm-2', {attempt: 2}),
    ],
    good: [
      taskEvent('taskStart', 'vm-1'),
      {type: 'vmLost', vm: 'vm-1'},
      taskEvent('taskStart', 'vm-2', {attempt: 2}),
    ],
  },
  {
    checker: new SinglePlaceChecker(),
    bad: [closed('finished'), taskEvent('taskStart', 'vm-2', {attempt: 2})],
    good: [closed('lost'), taskEvent('taskStart', 'vm-2', {attempt: 2})],
  },
  {
    checker: new ResumeChecker(),
    bad: [
      closed('evicted', 500),
      taskEvent('taskStart', 'vm-2', {attempt: 2, doneMillis: 400}),
    ],
    good: [
      closed('evicted', 500),
      taskEvent('taskStart', 'vm-2', {attempt: 2, doneMillis: 500}),
    ],
  },
  {
    checker: new FailureDomainChecker(),
    bad: [
      UP,
      {
        type: 'settingsAccepted',
        branch: 'fleet',
        revision: 3,
        domainsOut: ['tema'],
        at: 10,
      },
      {...taskEvent('taskStart', 'vm-1'), at: 5_011},
    ],
    good: [
      UP,
      {
        type: 'settingsAccepted',
        branch: 'fleet',
        revision: 3,
        domainsOut: ['tema'],
        at: 10,
      },
      {...taskEvent('taskStart', 'vm-1'), at: 5_010},
    ],
  },
  {
    checker: new WholeAnswerChecker(),
    bad: [
      {type: 'invoke', requestId: 'r1', idempotent: true, body: 'x'},
      {
        type: 'response',
        requestId: 'r1',
        outcome: 'answered',
        body: '{"requestId":"r2","echo":"x"}',
      },
    ],
    good: [
      {type: 'invoke', requestId: 'r1', idempotent: true, body: 'x'},
      {
        type: 'response',
        requestId: 'r1',
        outcome: 'answered',
        body: '{"requestId":"r1","echo":"x"}',
      },
    ],
  },
  {
    checker: new NotRunChecker(),
    bad: [
      {type: 'response', requestId: 'r1', outcome: 'notRun', body: ''},
      {type: 'executorBegin', vm: 'vm-1', requestId: 'r1'},
    ],
    good: [
      {type: 'response', requestId: 'r1', outcome: 'unknown', body: ''},
      {type: 'executorBegin', vm: 'vm-1', requestId: 'r1'},
    ],
  },
  {
    checker: new NotRunChecker(),
    bad: [closed('refused'), taskEvent('taskStart', 'vm-1')],
    good: [closed('lost'), taskEvent('taskStart', 'vm-1')],
  },
  {
    checker: new AtMostOnceChecker(),
    bad: [
      {type: 'invoke', requestId: 'r1', idempotent: false, body: ''},
      {type: 'executorBegin', vm: 'vm-1', requestId: 'r1'},
      {type: 'executorBegin', vm: 'vm-2', requestId: 'r1'},
    ],
    good: [
      {type: 'invoke', requestId: 'r1', idempotent: true, body: ''},
      {type: 'executorBegin', vm: 'vm-1', requestId: 'r1'},
      {type: 'executorBegin', vm: 'vm-2', requestId: 'r1'},
    ],
  },
  {
    checker: new AtMostOnceChecker(),
    bad: [
      {
        type: 'jobDeclared',
        team: 'depot',
        job: 'build',
        idempotent: false,
        tasks: 1,
      },
      taskEvent('taskStart', 'vm-1'),
      closed('lost'),
      taskEvent('taskStart', 'vm-2', {attempt: 2}),
    ],
    good: [
      {
        type: 'jobDeclared',
        team: 'depot',
        job: 'build',
        idempotent: false,
        tasks: 1,
      },
      taskEvent('taskStart', 'vm-1'),
      closed('evicted'),
      taskEvent('taskStart', 'vm-2', {attempt: 2}),
    ],
  },
  {
    checker: new DrainingChecker(),
    bad: [
      {type: 'shutdownBegin', process: 'vm-1', vm: 'vm-1', at: 100},
      {type: 'executorBegin', vm: 'vm-1', requestId: 'r1', at: 5_101},
    ],
    good: [
      {type: 'shutdownBegin', process: 'vm-1', vm: 'vm-1', at: 100},
      {type: 'executorBegin', vm: 'vm-1', requestId: 'r1', at: 5_100},
    ],
  },
  {
    checker: new GracefulStopChecker(),
    bad: [
      taskEvent('taskStart', 'vm-1'),
      {type: 'shutdownBegin', process: 'vm-1', vm: 'vm-1'},
      {type: 'shutdownEnd', process: 'vm-1', vm: 'vm-1'},
    ],
    good: [
      taskEvent('taskStart', 'vm-1'),
      {type: 'shutdownBegin', process: 'vm-1', vm: 'vm-1'},
      taskEvent('taskStop', 'vm-1'),
      {type: 'shutdownEnd', process: 'vm-1', vm: 'vm-1'},
    ],
  },
  {
    checker: new SettingsChecker(),
    bad: [
      {type: 'processUp', process: 'vm-1', run: 1},
      {type: 'settingsInForce', process: 'vm-1', run: 1, revision: 9},
      {type: 'settingsInForce', process: 'vm-1', run: 1, revision: 8},
    ],
    good: [
      {type: 'processUp', process: 'vm-1', run: 1},
      {type: 'settingsInForce', process: 'vm-1', run: 1, revision: 9},
      {type: 'processUp', process: 'vm-1', run: 2},
      {type: 'settingsInForce', process: 'vm-1', run: 2, revision: 8},
    ],
  },
  {
    checker: new SettingsChecker(),
    bad: [
      {type: 'processUp', process: 'vm-1', run: 1, at: 0},
      {
        type: 'settingsAccepted',
        branch: 'fleet',
        revision: 9,
        domainsOut: [],
        at: 100,
      },
      {type: 'executorBegin', vm: 'vm-1', requestId: 'r1', at: 5_101},
    ],
    good: [
      {type: 'processUp', process: 'vm-1', run: 1, at: 0},
      {
        type: 'settingsAccepted',
        branch: 'fleet',
        revision: 9,
        domainsOut: [],
        at: 100,
      },
      {
        type: 'settingsInForce',
        process: 'vm-1',
        run: 1,
        revision: 9,
        at: 5_099,
      },
      {type: 'executorBegin', vm: 'vm-1', requestId: 'r1', at: 5_101},
    ],
  },
  {
    checker: new JobsEndChecker(),
    bad: [
      {
        type: 'jobAtEnd',
        team: 'depot',
        job: 'build',
        phase: 'waiting',
        summary: '',
      },
    ],
    good: [
      {
        type: 'jobAtEnd',
        team: 'depot',
        job: 'build',
        phase: 'finished',
        summary: '',
      },
    ],
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
