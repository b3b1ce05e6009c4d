/**
 * One of twelve executors is unhealthy and answers 503 to starts. Ten jobs need
 * its kind, so none of them begins.
 */
import {BOUNDS, jobId, pause, runCase} from '../stand_ins_2/deployment.mjs';

const QUEUES = [
  {Name: 'checks', Prefix: '/checks/', Priority: 0, MaxAttempts: 4, Stretch: 1.5, TargetLatencyMs: 250},
];
const JOBS = 10;
/** Jobs that were accepted this long ago are counted. */
const COUNTED_MILLIS = BOUNDS.visible_ms + 2_000;
/** The largest duration of the disturbance is 6.5 s. */
const UNHEALTHY_MILLIS = 6_400;

await runCase(import.meta.url, async deployment => {
  await deployment.start({
    entries: 1, executors: 12, queues: QUEUES,
    behave: () => ({workMillis: 900}),
  });
  const begun = new Set();
  for (const executor of deployment.executors) {
    executor.onStart = task => begun.add(task.split('.')[0]);
  }
  const special = deployment.executors[3];
  special.kind = 'b';
  await special.report();
  await pause(2_000);
  const unhealthyAt = deployment.now;
  if (deployment.isTroubled) {
    deployment.record(`${special.id} is unhealthy: it answers 503 to starts and does nothing`);
    special.refuse = () => ({status: 503, body: {}});
  }
  const accepted = [];
  for (let number = 0; number < JOBS; number++) {
    const id = jobId(number);
    const {status} = await deployment.request('POST', `/checks/${id}`, {
      body: {
        Spec: 'check',
        Steps: [{Count: 2, Cpu: 300, MemMb: 500, EstimateMs: 900, Requires: 'b'}],
      },
    });
    if (status !== 200) throw new Error('a job was not accepted');
    accepted.push({id, at: deployment.now});
  }
  await pause(COUNTED_MILLIS + 200);
  const {body} = await deployment.request('GET', '/checks/');
  const waiting = accepted.filter(
    ({id, at}) => !begun.has(id) && deployment.now - at > COUNTED_MILLIS,
  ).length;
  const shown = JSON.parse(body).Waiting;
  await deployment.request('GET', `/checks/${accepted[0].id}`);
  const broken = shown < waiting / 2
    ? [`Waiting is ${shown} while ${waiting} jobs that were accepted over ${COUNTED_MILLIS} ms before have not begun`]
    : [];
  await pause(Math.max(0, unhealthyAt + UNHEALTHY_MILLIS - deployment.now));
  special.refuse = () => undefined;
  deployment.record(`${special.id} is healthy`);
  await pause(4_000);
  await deployment.finish('MIXED', broken);
});
