import {branchFaults} from '../settings/settings_branches.js';
import {formatFault} from '../settings/settings_fault.js';
import type {SettingsBranch, SettingsConflict} from './api_types.js';
import {createResponseError} from './entry_client.js';
import type {EntryResponse} from './entry_client.js';
import {ExitCodes} from './exit_codes.js';
import {throwIfLagging, waitInForce} from './settings_wait.js';
import type {WaitResult} from './settings_wait.js';
import {diffLines} from './line_diff.js';
import {createToolError} from './tool_error.js';
import type {ToolSession} from './tool_session.js';

/** Changes settings branches and shows the outcome. */

const HTTP_CONFLICT = 409;
const HTTP_UNPROCESSABLE = 422;

export interface WaitOptions {
  readonly wait: boolean;
  readonly timeoutSeconds: number;
}

export function settingsPath(branch: string): string {
  return `/v1/settings/${encodeURIComponent(branch)}`;
}

/** Throws a ToolError with all errors of the text, if it has any. */
export function validateBranchText(branch: string, text: string): void {
  const faults = branchFaults(branch, text);
  if (faults.length === 0) return;
  const lines = faults.map(fault => `  ${formatFault(fault)}`);
  throw createToolError(
    ExitCodes.REJECTED,
    [
      `The text has ${faults.length} error(s); nothing was sent.`,
      ...lines,
    ].join('\n'),
    {faults},
  );
}

/** Replaces a branch if it still has the revision the text is based on. */
export async function replaceBranch(
  session: ToolSession,
  base: {branch: string; revision: number},
  text: string,
): Promise<SettingsBranch> {
  const response = await session.client.send({
    method: 'PUT',
    path: settingsPath(base.branch),
    headers: {
      'if-match': String(base.revision),
      'x-author': session.author,
      'content-type': 'text/plain; charset=utf-8',
    },
    body: text,
  });
  if (response.status === HTTP_CONFLICT)
    throw createConflictError(response, base);
  if (response.status === HTTP_UNPROCESSABLE)
    throw createInvalidTextError(response);
  if (response.status >= 300) throw createResponseError(response);
  return JSON.parse(response.text) as SettingsBranch;
}

/** Sends a request that changes the fleet branch, and shows the outcome. */
export async function changeFleet(
  session: ToolSession,
  path: string,
  summary: string,
  options: WaitOptions,
): Promise<void> {
  const headers = {'x-author': session.author};
  const branch = await session.client.change<SettingsBranch>('POST', path, {
    headers,
  });
  await showChange(session, branch, summary, options);
}

/** Shows an accepted change, after waiting for it if requested. */
export async function showChange(
  session: ToolSession,
  branch: SettingsBranch,
  summary: string,
  options: WaitOptions,
): Promise<void> {
  const text = `${summary}: branch ${branch.branch} is at version ${branch.version}, revision ${branch.revision}.`;
  if (!options.wait) {
    session.show({change: branch}, text);
    return;
  }
  const wait = await waitInForce(
    session,
    branch.revision,
    options.timeoutSeconds,
  );
  session.show({change: branch, wait}, `${text}\n${formatWait(wait)}`);
  throwIfLagging(wait);
}

function formatWait(wait: WaitResult): string {
  const inForce = wait.processes - wait.lagging.length;
  return `In force at ${inForce} of ${wait.processes} processes after ${wait.seconds} s.`;
}

/** Creates the error that compares the current text with the proposed one. */
function createConflictError(
  response: EntryResponse,
  base: {branch: string; revision: number},
): Error {
  const conflict = JSON.parse(response.text) as SettingsConflict;
  const {current, proposed} = conflict;
  if (!current || !proposed) return createResponseError(response);
  const message = [
    `Not changed: branch ${base.branch} was changed by ${current.author || 'someone'} (version ${current.version}, revision ${current.revision}) after revision ${base.revision}.`,
    'Lines that differ (< current text, > proposed text):',
    ...diffLines(current.text, proposed.text).map(line => `  ${line}`),
    'Get the branch again, repeat the change in its current text, and apply it.',
  ].join('\n');
  return createToolError(ExitCodes.CONFLICT, message, {...conflict});
}

function createInvalidTextError(response: EntryResponse): Error {
  const body = JSON.parse(response.text) as {
    faults?: Parameters<typeof formatFault>[0][];
  };
  if (!body.faults) return createResponseError(response);
  const lines = body.faults.map(fault => `  ${formatFault(fault)}`);
  const title = `The entry found ${body.faults.length} error(s) in the text.`;
  return createToolError(
    ExitCodes.REJECTED,
    [title, ...lines].join('\n'),
    body,
  );
}
