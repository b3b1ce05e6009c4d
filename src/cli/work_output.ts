import type {Job, JobExplanation} from './api_types.js';
import {ExitCodes} from './exit_codes.js';
import {formatTable, formatTime, orHyphen} from './table.js';
import {createToolError} from './tool_error.js';
import type {ToolSession} from './tool_session.js';

/** Formats jobs and watchers and waits for their end. */

const MAXIMUM_SHOWN_TASKS = 50;
const POLL_MILLIS = 500;
const MILLIS_PER_SECOND = 1000;

/** Phases in which a job has ended. */
const ENDED_PHASES: ReadonlySet<string> = new Set([
  'finished',
  'failed',
  'cancelled',
]);

/** Phases that end a wait: the job ended or needs a user's decision. */
const SETTLED_PHASES: ReadonlySet<string> = new Set([...ENDED_PHASES, 'held']);

export function formatJob(job: Job): string {
  const lines = [
    `${job.team}/${job.name}: ${job.phase}`,
    `kind ${job.kind}, urgency ${job.urgency}`,
    `submitted ${formatTime(job.submittedWallTime)}, ended ${formatTime(job.closedWallTime)}`,
    `tasks: ${formatCounts(job)}`,
  ];
  if (job.confirmedBy) lines.push(`confirmed by ${job.confirmedBy}`);
  if (job.cancelReason) lines.push(`cancelled: ${job.cancelReason}`);
  const rows = job.tasks
    .slice(0, MAXIMUM_SHOWN_TASKS)
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
  const remaining = job.tasks.length - rows.length;
  if (remaining > 0)
    lines.push(`and ${remaining} more tasks; --json shows all`);
  return lines.join('\n');
}

export function formatJobs(jobs: readonly Job[]): string {
  const rows = jobs.map(job => [
    job.name,
    job.phase,
    job.urgency,
    formatCounts(job),
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

/** Polls a job until it has ended, is held or the timeout expires. */
export async function waitForEnd(
  session: ToolSession,
  path: string,
  timeoutSeconds: number,
): Promise<Job> {
  const {clock} = session.context;
  const deadline = clock.now() + timeoutSeconds * MILLIS_PER_SECOND;
  let lastLine = '';
  for (;;) {
    const job = await session.client.read<Job>(path);
    const line = `${job.phase}: ${formatCounts(job)}`;
    if (line !== lastLine) session.reportProgress(line);
    lastLine = line;
    if (SETTLED_PHASES.has(job.phase) || clock.now() >= deadline) return job;
    await session.pause(POLL_MILLIS);
  }
}

/** Throws unless the job is in the expected phase. */
export function throwUnlessInPhase(job: Job, expectedPhase: string): void {
  if (job.phase === expectedPhase) return;
  const settled = SETTLED_PHASES.has(job.phase);
  throw createToolError(
    settled ? ExitCodes.UNSUCCESSFUL : ExitCodes.LAGGING,
    `${job.team}/${job.name} is ${job.phase}, not ${expectedPhase}.`,
  );
}

function formatCounts(job: Job): string {
  const counts = Object.entries(job.counts).filter(([, count]) => count > 0);
  return counts.map(([phase, count]) => `${count} ${phase}`).join(', ');
}
