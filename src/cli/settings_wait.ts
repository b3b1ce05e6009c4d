import type {ProcessStatus, SettingsStatus} from './api_types.js';
import {ExitCodes} from './exit_codes.js';
import {ToolError, toolError} from './tool_error.js';
import type {ToolSession} from './tool_session.js';

const POLL_MILLIS = 500;
const MILLIS_PER_SECOND = 1000;
/** More are only counted in text; JSON has all. */
const SHOWN_NAMES = 8;

export interface WaitResult {
  readonly revision: number;
  readonly seconds: number;
  readonly processes: number;
  /** Ids of processes that have an older revision in force. */
  readonly lagging: readonly string[];
}

/** Waits until every process has the revision in force, with progress. */
export async function waitInForce(
  session: ToolSession,
  revision: number,
  timeoutSeconds: number,
): Promise<WaitResult> {
  const {clock} = session.surroundings;
  const startedAt = clock.now();
  const endsAt = startedAt + timeoutSeconds * MILLIS_PER_SECOND;
  let shown = '';
  for (;;) {
    const statuses = await readStatuses(session);
    const result = judge(statuses, revision, clock.now() - startedAt);
    const line = statuses ? progressLine(result) : 'no entry answers';
    if (line !== shown) session.progress(line);
    shown = line;
    if (statuses && result.lagging.length === 0) return result;
    if (clock.now() >= endsAt) return result;
    await session.pause(POLL_MILLIS);
  }
}

/** Throws the error that names the processes which lag, if there are any. */
export function throwIfLagging(result: WaitResult): void {
  if (result.processes > 0 && result.lagging.length === 0) return;
  const names = namesText(result.lagging) || 'no entry answered';
  throw toolError(
    ExitCodes.LAGGING,
    `The change is accepted as revision ${result.revision}, but not in force everywhere after ${result.seconds} s: ${names}.`,
    {...result},
  );
}

/** Undefined while no entry answers: the wait goes on. */
async function readStatuses(
  session: ToolSession,
): Promise<readonly ProcessStatus[] | undefined> {
  try {
    const path = '/v1/settings-status';
    const status = await session.client.read<SettingsStatus>(path);
    return status.processes;
  } catch (error) {
    if (error instanceof ToolError) return undefined;
    throw error;
  }
}

function judge(
  statuses: readonly ProcessStatus[] = [],
  revision: number,
  waitedMillis: number,
): WaitResult {
  const lagging = statuses
    .filter(status => status.settingsRevision < revision)
    .map(status => status.processId);
  const seconds = Math.round(waitedMillis) / MILLIS_PER_SECOND;
  return {revision, seconds, processes: statuses.length, lagging};
}

function progressLine(result: WaitResult): string {
  const {processes, lagging} = result;
  const done = `in force at ${processes - lagging.length} of ${processes} processes`;
  if (lagging.length === 0) return done;
  return `${done}; waiting for ${namesText(lagging)}`;
}

function namesText(names: readonly string[]): string {
  const shown = names.slice(0, SHOWN_NAMES).join(', ');
  const left = names.length - SHOWN_NAMES;
  return left > 0 ? `${shown} and ${left} more` : shown;
}
