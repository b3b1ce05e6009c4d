/**
 * An executor crashes and starts again under the id that it had. Its first
 * status report comes one heartbeat interval after its start.
 */
import {fileURLToPath} from 'node:url';
import {
  CannotRunError,
  createJob,
  Deployment,
  HEARTBEAT_MILLIS,
  pause,
  runCase,
  waitFor,
} from '../stand_ins/deployment.mjs';
import {Recorder} from '../stand_ins/recorder.mjs';

const JOB = '00000000000000a1';
const TASKS = 8;
const WORK_MILLIS = 8_000;
const DOWN_MILLIS = 300;
const OBSERVED_MILLIS = 14_000;

const recorder = new Recorder(
  fileURLToPath(new URL('record.txt', import.meta.url)),
);
const deployment = new Deployment({recorder, entries: 1, agents: 2});

await runCase({
  recorder,
  deployment,
  play: async () => {
    const {history} = deployment;
    const executor = deployment.executors.get('executor-1');
    const job = createJob({count: TASKS, workMillis: WORK_MILLIS});
    await deployment.submit(JOB, job);
    const isStarted = await waitFor(
      () => history.activeOn('executor-1').length > 0,
      15_000,
    );
    if (!isStarted)
      throw new CannotRunError('no tasks run beside the first agent');
    await pause(3_000);
    if (process.env.TROUBLE !== '0') {
      executor.crash();
      await pause(DOWN_MILLIS);
      await executor.start(HEARTBEAT_MILLIS);
      recorder.announce('the executor has started again under its id');
    }
    await pause(OBSERVED_MILLIS);
    return history.describeTwice();
  },
});
