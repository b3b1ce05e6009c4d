/**
 * An executor is lost for good while it runs tasks, and the agent beside it is
 * killed and started again before the executor's lease has ended.
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

const JOB = '00000000000000a1';
const LATER_JOB = '00000000000000a2';
/** One of them is lost or crashes: a share of 0.125. */
const EXECUTORS = 8;
const TASKS = 16;
const WORK_MILLIS = 4_000;
const KILL_DELAY_MILLIS = 1_000;
/** `HoldMaxMs`, `finish_s`, and the 3 s for which nothing may run. */
const OBSERVED_MILLIS = 27_000;

const recorder = new Recorder(
  fileURLToPath(new URL('record.txt', import.meta.url)),
);
const deployment = new Deployment({recorder, entries: 1, agents: EXECUTORS});

async function stateOf(id) {
  const {status, text} = await deployment.request('GET', id);
  return status === 200 ? JSON.parse(text).State : `status ${status}`;
}

await runCase({
  recorder,
  deployment,
  play: async () => {
    const {history} = deployment;
    const job = createJob({count: TASKS, workMillis: WORK_MILLIS});
    await deployment.submit(JOB, job);
    const isStarted = await waitFor(
      () => history.activeOn('executor-1').length > 0,
      15_000,
    );
    if (!isStarted)
      throw new CannotRunError('no tasks run beside the first agent');
    await pause(KILL_DELAY_MILLIS);
    if (process.env.TROUBLE !== '0') {
      deployment.executors.get('executor-1').crash();
      await pause(KILL_DELAY_MILLIS);
      deployment.processes.get('agent-1').kill('SIGKILL');
      recorder.announce('the first executor is lost, its agent is killed');
    }
    await pause(OBSERVED_MILLIS);
    await deployment.submit(LATER_JOB, job);
    await pause(2 * WORK_MILLIS);
    const state = await stateOf(JOB);
    recorder.announce(`the later job is ${await stateOf(LATER_JOB)}`);
    if (state === 'done') return undefined;
    const lost = history.runs.filter(({how}) => how === 'crashed');
    const again = lost.filter(({task, from}) =>
      history.runs.some(each => each.task === task && each.from > from),
    );
    return `LOST: job ${JOB} is ${state}; ${lost.length} of its tasks were lost with the executor, and ${again.length} of these have begun again`;
  },
});
