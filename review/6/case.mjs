/**
 * The store's revisions are large numbers. One start gets no answer and is
 * carried out 4 s later.
 */
import {jobId, pause, runCase} from '../stand_ins_2/deployment.mjs';

const QUEUES = [
  {Name: 'builds', Prefix: '/builds/', Priority: 2, MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1000},
];
const FIRST_REVISION = 200_000_000_000;
const LATE_MILLIS = 4_000;
const jobOf = (cpu, count) => ({
  Spec: 'build',
  Steps: [{Count: count, Cpu: cpu, MemMb: 1000, EstimateMs: 8000}],
});

await runCase(import.meta.url, async deployment => {
  deployment.store.revision = FIRST_REVISION;
  deployment.record(`store: the first revision is ${FIRST_REVISION}`);
  await deployment.start({entries: 1, executors: 2, queues: QUEUES, behave: () => ({workMillis: 9_000})});
  const {executors} = deployment;
  const id = jobId(1);
  const task = `${id}.0.0.0`;
  const broken = [];
  let orders = 0;
  let late = 0;
  for (const executor of executors) {
    executor.late = (order, {Task, FencingToken}) => {
      orders++;
      if (!deployment.isTroubled || late > 0 || order !== 'run-start' || Task !== task) return undefined;
      late++;
      deployment.record(`${executor.id}: the start of ${Task} gets no answer; it is carried out ${LATE_MILLIS} ms later (FencingToken ${FencingToken})`);
      return {lateMillis: LATE_MILLIS};
    };
    executor.onStart = (started, run) => {
      if (started !== task) return;
      for (const other of executors) {
        const present = other === executor ? undefined : other.runs.get(task);
        if (present) broken.push(`run ${run} of ${task} starts on ${executor.id} while run ${present.run} works on ${other.id}`);
      }
    };
  }
  await deployment.request('POST', `/builds/${id}`, {body: jobOf(1800, 1)});
  await pause(50);
  await deployment.request('POST', `/builds/${jobId(2)}`, {body: jobOf(8000, 1)});
  await pause(50);
  await deployment.request('POST', `/builds/${jobId(3)}`, {body: jobOf(9000, 1)});
  await pause(5_300);
  deployment.record(`executors: ${late} of ${orders} orders of this time got no answer`);
  await pause(8_000);
  await deployment.request('GET', `/builds/${id}`);
  await deployment.finish('TWICE', broken);
});
