/**
 * An executor crashes just after a status report and starts again under the id
 * that it had. Its next report comes one heartbeat interval after the last.
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
/** One of them is lost or crashes: a share of 0.125. */
const EXECUTORS = 8;
const TASKS = 16;
const WORK_MILLIS = 8_000;
const REPORT_AGE_MILLIS = 100;
const DOWN_MILLIS = 200;
const OBSERVED_MILLIS = 14_000;

const recorder = new Recorder(
  fileURLToPath(new URL('record.txt', import.meta.url)),
);
const deployment = new Deployment({recorder, entries: 1, agents: EXECUTORS});

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
      await waitFor(() => executor.reportAgeMillis < REPORT_AGE_MILLIS, 5_000);
      executor.crash();
      await pause(DOWN_MILLIS);
      await executor.start();
      recorder.announce('the executor has started again under its id');
    }
    await pause(OBSERVED_MILLIS);
    return history.describeTwice();
  },
});
