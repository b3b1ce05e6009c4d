import {branchFaults} from '../settings/settings_branches.js';
import {formatFault} from '../settings/settings_fault.js';
import type {SettingsBranch, SettingsConflict} from './api_types.js';
import {failureOf} from './entry_client.js';
import type {EntryAnswer} from './entry_client.js';
import {ExitCodes} from './exit_codes.js';
import {throwIfLagging, waitInForce} from './settings_wait.js';
import type {WaitResult} from './settings_wait.js';
import {differenceOf} from './text_difference.js';
import {toolError} from './tool_error.js';
import type {ToolSession} from './tool_session.js';

/** Changes of settings branches, and how their outcome is shown. */

const HTTP_CONFLICT = 409;
const HTTP_UNPROCESSABLE = 422;

export interface WaitOptions {
  readonly wait: boolean;
  readonly timeoutSeconds: number;
}

export function settingsPath(branch: string): string {
  return `/v1/settings/${encodeURIComponent(branch)}`;
}

/** Throws if the text has faults, with all of them. */
export function checkBranchText(branch: string, text: string): void {
  const faults = branchFaults(branch, text);
  if (faults.length === 0) return;
  const lines = faults.map(fault => `  ${formatFault(fault)}`);
  throw toolError(
    ExitCodes.REJECTED,
    [
      `The text has ${faults.length} fault(s); nothing was sent.`,
      ...lines,
    ].join('\n'),
    {faults},
  );
}

/** Replaces a branch that still has the revision the text is based on. */
export async function replaceBranch(
  session: ToolSession,
  based: {branch: string; revision: number},
  text: string,
): Promise<SettingsBranch> {
  const answer = await session.client.send({
    method: 'PUT',
    path: settingsPath(based.branch),
    headers: {
      'if-match': String(based.revision),
      'x-author': session.author,
      'content-type': 'text/plain; charset=utf-8',
    },
    body: text,
  });
  if (answer.status === HTTP_CONFLICT) throw conflictOf(answer, based);
  if (answer.status === HTTP_UNPROCESSABLE) throw faultsOf(answer);
  if (answer.status >= 300) throw failureOf(answer);
  return JSON.parse(answer.text) as SettingsBranch;
}

/** Makes a call that changes the fleet branch, and shows what became of it. */
export async function changeFleet(
  session: ToolSession,
  path: string,
  what: string,
  options: WaitOptions,
): Promise<void> {
  const headers = {'x-author': session.author};
  const branch = await session.client.change<SettingsBranch>('POST', path, {
    headers,
  });
  await showChange(session, branch, what, options);
}

/** Shows an accepted change, after the wait if one was asked for. */
export async function showChange(
  session: ToolSession,
  branch: SettingsBranch,
  what: string,
  options: WaitOptions,
): Promise<void> {
  const text = `${what}: branch ${branch.branch} is at version ${branch.version}, revision ${branch.revision}.`;
  if (!options.wait) {
    session.show({change: branch}, text);
    return;
  }
  const wait = await waitInForce(
    session,
    branch.revision,
    options.timeoutSeconds,
  );
  session.show({change: branch, wait}, `${text}\n${waitText(wait)}`);
  throwIfLagging(wait);
}

function waitText(wait: WaitResult): string {
  const done = wait.processes - wait.lagging.length;
  return `In force at ${done} of ${wait.processes} processes after ${wait.seconds} s.`;
}

/** Both sides of a race: what stands there now, and what was proposed. */
function conflictOf(
  answer: EntryAnswer,
  based: {branch: string; revision: number},
): Error {
  const conflict = JSON.parse(answer.text) as SettingsConflict;
  const {current, proposed} = conflict;
  if (!current || !proposed) return failureOf(answer);
  const message = [
    `Not changed: branch ${based.branch} was changed by ${current.author || 'someone'} (version ${current.version}, revision ${current.revision}) after revision ${based.revision}.`,
    'Lines that differ, < as it stands now, > as proposed:',
    ...differenceOf(current.text, proposed.text).map(line => `  ${line}`),
    'Get the branch again, make the change there, and apply it.',
  ].join('\n');
  return toolError(ExitCodes.CONFLICT, message, {...conflict});
}

function faultsOf(answer: EntryAnswer): Error {
  const body = JSON.parse(answer.text) as {
    faults?: Parameters<typeof formatFault>[0][];
  };
  if (!body.faults) return failureOf(answer);
  const lines = body.faults.map(fault => `  ${formatFault(fault)}`);
  const title = `The entry found ${body.faults.length} fault(s) in the text.`;
  return toolError(ExitCodes.REJECTED, [title, ...lines].join('\n'), body);
}
