import type {Job, JobExplanation} from './api_types.js';
import {ExitCodes} from './exit_codes.js';
import {formatTable, formatTime, orHyphen} from './table.js';
import {toolError} from './tool_error.js';
import type {ToolSession} from './tool_session.js';

/** How jobs and watchers are shown and waited for. */

const SHOWN_TASKS = 50;
const POLL_MILLIS = 500;
const MILLIS_PER_SECOND = 1000;

/** Phases in which a job has ended. */
const ENDED_PHASES: ReadonlySet<string> = new Set([
  'finished',
  'failed',
  'cancelled',
]);

/** Phases that a wait doesn't outlast: only a person can change them. */
const SETTLED_PHASES: ReadonlySet<string> = new Set([...ENDED_PHASES, 'held']);

export function formatJob(job: Job): string {
  const lines = [
    `${job.team}/${job.name}: ${job.phase}`,
    `kind ${job.kind}, urgency ${job.urgency}`,
    `submitted ${formatTime(job.submittedWallTime)}, ended ${formatTime(job.closedWallTime)}`,
    `tasks: ${countsText(job)}`,
  ];
  if (job.confirmedBy) lines.push(`confirmed by ${job.confirmedBy}`);
  if (job.cancelReason) lines.push(`cancelled: ${job.cancelReason}`);
  const rows = job.tasks
    .slice(0, SHOWN_TASKS)
    .map(task => [
      task.task,
      task.phase,
      task.attempts,
      task.failures,
      orHyphen(task.vm),
      orHyphen(task.result || task.reason),
    ]);
  const headings = ['TASK', 'PHASE', 'ATTEMPTS', 'FAILURES', 'VM', 'RESULT'];
  lines.push(formatTable(headings, rows));
  const left = job.tasks.length - rows.length;
  if (left > 0) lines.push(`and ${left} more tasks; --json shows all`);
  return lines.join('\n');
}

export function formatJobs(jobs: readonly Job[]): string {
  const rows = jobs.map(job => [
    job.name,
    job.phase,
    job.urgency,
    countsText(job),
    formatTime(job.submittedWallTime),
    orHyphen(job.confirmedBy),
  ]);
  return formatTable(
    ['NAME', 'PHASE', 'URGENCY', 'TASKS', 'SUBMITTED', 'CONFIRMED BY'],
    rows,
  );
}

export function formatExplanation(explanation: JobExplanation): string {
  const {team, name, phase, summary, history} = explanation;
  const lines = [`${team}/${name}: ${phase}`, summary];
  for (const {wallTime, text} of history) {
    lines.push(`${formatTime(wallTime)}  ${text}`);
  }
  return lines.join('\n');
}

/** Reads the job until it has ended or the time is up; shows progress. */
export async function waitForEnd(
  session: ToolSession,
  path: string,
  timeoutSeconds: number,
): Promise<Job> {
  const {clock} = session.surroundings;
  const endsAt = clock.now() + timeoutSeconds * MILLIS_PER_SECOND;
  let shown = '';
  for (;;) {
    const job = await session.client.read<Job>(path);
    const line = `${job.phase}: ${countsText(job)}`;
    if (line !== shown) session.progress(line);
    shown = line;
    if (SETTLED_PHASES.has(job.phase) || clock.now() >= endsAt) return job;
    await session.pause(POLL_MILLIS);
  }
}

/** Throws unless the job is in the phase that was waited for. */
export function throwUnlessEndedAs(job: Job, wanted: string): void {
  if (job.phase === wanted) return;
  const settled = SETTLED_PHASES.has(job.phase);
  throw toolError(
    settled ? ExitCodes.UNSUCCESSFUL : ExitCodes.LAGGING,
    `${job.team}/${job.name} is ${job.phase}, not ${wanted}.`,
  );
}

function countsText(job: Job): string {
  const counts = Object.entries(job.counts).filter(([, count]) => count > 0);
  return counts.map(([phase, count]) => `${count} ${phase}`).join(', ');
}
