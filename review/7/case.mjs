/**
 * A job whose tasks last has a target for their tail of 62.5 ms. Beside it, tasks
 * of another job are at work on the same executors.
 */
import {jobId, pause, runCase} from '../stand_ins_2/deployment.mjs';

const QUEUES = [
  {Name: 'watch', Prefix: '/watch/', Priority: 0, MaxAttempts: 3, Stretch: 2.2, TargetLatencyMs: 2500},
];
const watchOf = targetMillis => ({
  Spec: 'watch',
  Steps: [{
    Count: 2, Cpu: 3200, MemMb: 6400, LongRunning: true, MayMiss: 1, AntiAffinity: 1,
    Image: 'watcher', TargetMs: targetMillis,
  }],
});
/** A task that lasts has to run again 6 s after its last run, within 3 s. */
const ABSENCE_MILLIS = 9_000;

await runCase(import.meta.url, async deployment => {
  const {executors} = deployment;
  await deployment.start({
    entries: 1, executors: 2, queues: QUEUES,
    behave: () => ({lasting: true, startMillis: 500, tail: 10}),
  });
  const first = jobId(1);
  await deployment.request('POST', `/watch/${first}`, {body: watchOf(62)});
  await pause(5_000);
  const second = jobId(2);
  const body = watchOf(deployment.isTroubled ? 62.5 : 62);
  deployment.record(`the target of job ${second} is ${body.Steps[0].TargetMs} ms`);
  const {status} = await deployment.request('POST', `/watch/${second}`, {body});
  if (status !== 200) throw new Error('the job was not accepted');
  const acceptedAt = deployment.now;
  const endedAt = new Map();
  for (const executor of executors) {
    executor.onEnd = (task, run, how) => endedAt.set(task, {how, at: deployment.now});
  }
  await pause(22_000);
  await deployment.request('GET', `/watch/${second}`);
  const broken = [];
  for (const id of [first, second]) {
    for (const index of [0, 1]) {
      const task = `${id}.0.0.${index}`;
      if (executors.some(executor => executor.runs.has(task))) continue;
      const {at = acceptedAt, how} = endedAt.get(task) ?? {};
      const millis = Math.round(deployment.now - at);
      if (millis < ABSENCE_MILLIS) continue;
      broken.push(how === undefined
        ? `${task} has not run in the ${millis} ms since its job was accepted`
        : `${task} ended ${how} and has not run for ${millis} ms`);
    }
  }
  await deployment.finish('LOST', broken);
});
