/**
 * Two of forty jobs can never be done. They fail on three idle executors, and
 * then the other 38 are accepted.
 */
import {BOUNDS, jobId, pause, runCase} from '../stand_ins_2/deployment.mjs';

const QUEUES = [
  {Name: 'builds', Prefix: '/builds/', Priority: 2, MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1000},
];
const JOBS = 40;
const HOPELESS_JOBS = 2;
/** How long a job may have nothing running. */
const NOTHING_RUNNING_MILLIS = 3_000;

const jobOf = spec => ({
  Spec: spec,
  Steps: [{Count: 4, Cpu: 240, MemMb: 480, EstimateMs: 3100}],
});

await runCase(import.meta.url, async deployment => {
  const behave = (task, spec) =>
    spec === 'hopeless' ? {workMillis: 200, fails: true} : {workMillis: 3_100};
  await deployment.start({entries: 1, executors: 3, queues: QUEUES, behave});
  const begun = new Set();
  for (const executor of deployment.executors) {
    executor.onStart = task => begun.add(task.split('.')[0]);
  }
  const accepted = [];
  for (let number = 0; number < JOBS; number++) {
    const isHopeless = deployment.isTroubled && number < HOPELESS_JOBS;
    const id = jobId(number);
    const body = jobOf(isHopeless ? 'hopeless' : 'build');
    const {status} = await deployment.request('POST', `/builds/${id}`, {body});
    if (status !== 200) throw new Error('a job was not accepted');
    if (!isHopeless) accepted.push({id, at: deployment.now});
    // The first jobs fail before the others come; all come within 3 s.
    await pause(number === HOPELESS_JOBS - 1 ? 800 : 35);
  }
  deployment.record('the traffic ends');
  await pause(BOUNDS.finish_s * 1_000);
  const waiting = accepted.filter(({id}) => !begun.has(id));
  deployment.record(`${waiting.length} jobs have not begun ${BOUNDS.finish_s} s after the end of the traffic; ` +
    `${deployment.executors.reduce((sum, {runs}) => sum + runs.size, 0)} tasks run on the executors`);
  if (waiting.length > 0) await deployment.request('GET', `/builds/${waiting[0].id}`);
  await pause(NOTHING_RUNNING_MILLIS);
  const broken = waiting
    .filter(({id}) => !begun.has(id))
    .map(({id, at}) => `job ${id} has run nothing in the ${Math.round(deployment.now - at)} ms since it was accepted`);
  // Shows when the jobs begin at last.
  if (broken.length > 0) await pause(8_000);
  await deployment.finish('LOST', broken);
});
