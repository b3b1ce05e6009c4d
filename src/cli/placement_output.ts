import type {
  PlacementExplanation,
  StepPlacement,
  StepWait,
  WorkerCounts,
} from './api_types.js';
import {formatTable} from './table.js';

/** Shown in place of the obstacle of a worker that is not ruled out. */
const NOT_RULED_OUT = '-';

/** Returns an explanation as text, with a table of workers for each step. */
export function formatPlacement(explanation: PlacementExplanation): string {
  const {queue, service, priority, stateAgeMillis, refusal} = explanation;
  const {usableWorkers, unusableWorkers} = explanation;
  const lines = [
    `Queue ${queue} of service ${service}, priority ${priority}; ` +
      `${usableWorkers} workers usable, ${unusableWorkers} not; ` +
      `state at most ${stateAgeMillis} ms old.`,
  ];
  if (refusal) {
    const {status, retryAfterSeconds, reason} = refusal;
    lines.push(
      `The workflow would be refused with status ${status} and Retry-After ${retryAfterSeconds}: ${reason}.`,
    );
  }
  const rows = explanation.steps.map(step => [
    step.step,
    step.tasks,
    step.placedTasks,
    step.waitsFor ? describeWait(step.waitsFor) : '-',
  ]);
  lines.push('', formatTable(['STEP', 'TASKS', 'PLACED', 'WAITS FOR'], rows));
  for (const step of explanation.steps) lines.push('', formatStep(step));
  return lines.join('\n');
}

function formatStep(placement: StepPlacement): string {
  const {step, ranked, notRanked, tasksNotRanked} = placement;
  const rows = ranked.map((worker, index) => [
    index + 1,
    worker.worker,
    worker.failureDomain,
    worker.rack,
    worker.tasks,
    worker.score ?? '-',
    `${worker.heardMillisAgo} ms`,
    describeObstacle(worker),
  ]);
  const table = formatTable(
    [
      'RANK',
      'WORKER',
      'DOMAIN',
      'RACK',
      'TASKS',
      'SCORE',
      'HEARD',
      'RULED OUT BY',
    ],
    rows,
  );
  const others = describeCounts(notRanked);
  const rest =
    others === ''
      ? ''
      : `\nOther workers: ${others}; ${tasksNotRanked} tasks placed there`;
  return `Workers for step ${step}:\n${table}${rest}`;
}

function describeObstacle({
  obstacle,
  reservation,
  isOnOtherRack,
}: StepPlacement['ranked'][number]): string {
  if (reservation) {
    const {holder, endsInMillis} = reservation;
    return `${obstacle ?? 'reservation'} (${holder}, ${endsInMillis} ms)`;
  }
  if (obstacle !== undefined) return obstacle;
  return isOnOtherRack ? `${NOT_RULED_OUT} (other rack)` : NOT_RULED_OUT;
}

function describeWait({kind, steps, workers}: StepWait): string {
  if (kind === 'steps') return `steps ${steps.join(', ')}`;
  const task = kind === 'gang' ? 'workers for all tasks at once' : 'a worker';
  return `${task} (${describeCounts(workers)})`;
}

function describeCounts(counts: WorkerCounts): string {
  return Object.entries(counts)
    .map(([obstacle, count]) => `${count} ${obstacle}`)
    .join(', ');
}
