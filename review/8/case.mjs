/**
 * The store's answer to the write of a job is lost and the write is done 5 s
 * later. The requester gives the job up: it is told 504, cancels the job and is
 * told 410.
 */
import {BOUNDS, jobId, pause, runCase} from '../stand_ins_2/deployment.mjs';

const QUEUES = [
  {Name: 'builds', Prefix: '/builds/', Priority: 2, MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1000},
];
const LATE_MILLIS = 5_000;
const JOB = {
  Spec: 'build',
  Steps: [{Count: 2, Cpu: 1800, MemMb: 3200, EstimateMs: 3000}],
};

await runCase(import.meta.url, async deployment => {
  const {store} = deployment;
  await deployment.start({entries: 2, executors: 2, queues: QUEUES, behave: () => ({workMillis: 3_000})});
  const id = jobId(1);
  let writes = 0;
  let lost = 0;
  store.fault = ({Puts = [], Remove = []}) => {
    if (Puts.length + Remove.length > 0) writes++;
    if (!deployment.isTroubled || lost > 0) return undefined;
    if (!Puts.some(({Key}) => Key.includes(id))) return undefined;
    lost++;
    deployment.record(`store: the answer to the write of job ${id} is lost; it is done ${LATE_MILLIS} ms later`);
    return {lateMillis: LATE_MILLIS};
  };
  const starts = [];
  for (const executor of deployment.executors) {
    executor.onStart = task => {
      if (task.startsWith(id)) starts.push({task, at: deployment.now});
    };
  }
  // Other jobs of the same seconds, whose writes are answered.
  const submitOthers = async () => {
    for (let number = 10; number < 18; number++) {
      await deployment.request('POST', `/builds/${jobId(number)}`, {body: JOB, entry: number % 2, quiet: true});
      await pause(250);
    }
  };
  const others = submitOthers();
  await deployment.request('POST', `/builds/${id}`, {body: JOB});
  const {status} = await deployment.request('DELETE', `/builds/${id}`, {entry: 1});
  const acknowledgedAt = deployment.now;
  await others;
  deployment.record(`store: ${lost} of ${writes} writes of this time got no answer`);
  const broken = [];
  if (![200, 410].includes(status)) throw new Error('the cancelling was not acknowledged');
  await pause(12_000);
  await deployment.request('GET', `/builds/${id}`);
  for (const {task, at} of starts) {
    const millis = Math.round(at - acknowledgedAt);
    if (millis <= BOUNDS.cancel_ms) continue;
    broken.push(`${task} starts ${millis} ms after the cancelling of its job was acknowledged with ${status}`);
  }
  await deployment.finish('UNASKED', broken);
});
