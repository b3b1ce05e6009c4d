/**
 * Tasks on one of ten executors stand still for 4 s. A task that lasts and an
 * ordinary job run there, both with a label that only this executor has.
 */
import {fileURLToPath} from 'node:url';
import {
  CannotRunError,
  createJob,
  Deployment,
  pause,
  runCase,
  waitFor,
} from '../stand_ins/deployment.mjs';
import {Recorder} from '../stand_ins/recorder.mjs';

/** Tasks on one of them stand still: a share of 0.1. */
const EXECUTORS = 10;
const LABEL = 'b';
const LASTING_JOB = '00000000000000a1';
const JOB = '00000000000000a2';
const LATER_JOB = '00000000000000a3';
const TASKS = 4;
const WORK_MILLIS = 2_000;
const STANDSTILL_MILLIS = 4_000;
/** `finish_s` and the 3 s for which nothing may run, twice over. */
const OBSERVED_MILLIS = 34_000;

const recorder = new Recorder(
  fileURLToPath(new URL('record.txt', import.meta.url)),
);
const deployment = new Deployment({
  recorder,
  entries: 1,
  agents: EXECUTORS,
  labels: {1: [LABEL, 'r1-1']},
});

async function stateOf(id) {
  const {status, text} = await deployment.request('GET', id);
  return status === 200 ? JSON.parse(text).State : `status ${status}`;
}

await runCase({
  recorder,
  deployment,
  play: async () => {
    const {history} = deployment;
    const executor = deployment.executors.get('executor-1');
    const runsOf = id =>
      history.activeOn('executor-1').filter(({task}) => task.startsWith(id));
    const job = createJob({
      count: TASKS,
      workMillis: WORK_MILLIS,
      Requires: LABEL,
    });
    const lastingJob = createJob({
      count: 1,
      workMillis: 0,
      Requires: LABEL,
      LongRunning: true,
    });
    await deployment.submit(LASTING_JOB, lastingJob);
    await deployment.submit(JOB, job);
    const isStarted = await waitFor(
      () => runsOf(LASTING_JOB).length === 1 && runsOf(JOB).length === TASKS,
      10_000,
    );
    if (!isStarted) throw new CannotRunError('the tasks have not begun');
    if (process.env.TROUBLE !== '0') {
      executor.standStill();
      await pause(STANDSTILL_MILLIS);
      executor.goOn();
      recorder.announce('tasks on executor-1 have stood still for 4 s');
    }
    await deployment.submit(LATER_JOB, job);
    await pause(OBSERVED_MILLIS);
    const states = [await stateOf(JOB), await stateOf(LATER_JOB)];
    if (states.every(state => state === 'done')) return undefined;
    const left = history.activeOn('executor-1').length;
    return `LOST: the job is ${states[0]}, a later one ${states[1]}; executor-1 has run ${left} task for the last ${OBSERVED_MILLIS / 1_000} s`;
  },
});
