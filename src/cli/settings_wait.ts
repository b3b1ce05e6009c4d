import type {ProcessStatus, SettingsStatus} from './api_types.js';
import {ExitCodes} from './exit_codes.js';
import {ToolError, createToolError} from './tool_error.js';
import type {ToolSession} from './tool_session.js';

const POLL_MILLIS = 500;
const MILLIS_PER_SECOND = 1000;
/** Limits the process ids in text output; JSON has all of them. */
const MAXIMUM_SHOWN_NAMES = 8;

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
  const {clock} = session.context;
  const startedAt = clock.now();
  const deadline = startedAt + timeoutSeconds * MILLIS_PER_SECOND;
  let lastLine = '';
  for (;;) {
    const statuses = await readStatuses(session);
    const result = createWaitResult(
      statuses,
      revision,
      clock.now() - startedAt,
    );
    const line = statuses ? formatProgress(result) : 'no entry responds';
    if (line !== lastLine) session.reportProgress(line);
    lastLine = line;
    if (statuses && result.lagging.length === 0) return result;
    if (clock.now() >= deadline) return result;
    await session.pause(POLL_MILLIS);
  }
}

/** Throws if processes lag, naming them, or if no entry responded. */
export function throwIfLagging(result: WaitResult): void {
  if (result.processes > 0 && result.lagging.length === 0) return;
  const names = formatNames(result.lagging) || 'no entry responded';
  throw createToolError(
    ExitCodes.LAGGING,
    `The change was accepted as revision ${result.revision}, but not in force everywhere after ${result.seconds} s: ${names}.`,
    {...result},
  );
}

/** Returns undefined if the request fails, so that the wait continues. */
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

function createWaitResult(
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

function formatProgress(result: WaitResult): string {
  const {processes, lagging} = result;
  const inForce = `in force at ${processes - lagging.length} of ${processes} processes`;
  if (lagging.length === 0) return inForce;
  return `${inForce}; waiting for ${formatNames(lagging)}`;
}

function formatNames(names: readonly string[]): string {
  const shown = names.slice(0, MAXIMUM_SHOWN_NAMES).join(', ');
  const remaining = names.length - MAXIMUM_SHOWN_NAMES;
  return remaining > 0 ? `${shown} and ${remaining} more` : shown;
}
