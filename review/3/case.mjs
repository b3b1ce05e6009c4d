/**
 * A status report of another writer, with a service that no configuration
 * names, reaches an agent whose executor is at work.
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
import {call} from '../stand_ins/http_messages.mjs';
import {Recorder} from '../stand_ins/recorder.mjs';

const JOB = '00000000000000a1';
const TASKS = 8;
const WORK_MILLIS = 8_000;
const OBSERVED_MILLIS = 14_000;

const recorder = new Recorder(
  fileURLToPath(new URL('record.txt', import.meta.url)),
);
const deployment = new Deployment({recorder, entries: 1, agents: 2});

/** A report that is valid but for a service that is not named here. */
async function sendForeignReport() {
  const {status} = await call({
    address: deployment.controlAddressOf(1),
    method: 'PUT',
    path: '/-/instances/i-ffffffff1',
    body: {
      Service: 'service-of-another-writer',
      Address: `127.0.2.1:${deployment.ports.store}`,
      Zone: 'zone-1',
      Version: 'v1',
      Capacity: 8,
      State: 'ready',
      ColdLeftMs: 0,
      FreeCapacity: {Cpu: 16_000, MemMb: 64_000, Gpu: 0},
      Labels: ['a', 'zone-1-r1'],
      ClockMs: 1_000,
      Sequence: 1,
      born: Date.now(),
    },
    timeoutMillis: 1_000,
  });
  recorder.announce(`the foreign status report was answered with ${status}`);
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
    await pause(3_000);
    if (process.env.TROUBLE !== '0') await sendForeignReport();
    await pause(OBSERVED_MILLIS);
    return history.describeTwice();
  },
});
