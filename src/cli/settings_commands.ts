import {withKey} from '../settings/ini_edit.js';
import type {
  SettingsBranch,
  SettingsHistory,
  SettingsStatus,
} from './api_types.js';
import {
  validateBranchText,
  replaceBranch,
  settingsPath,
  showChange,
} from './settings_change.js';
import type {WaitOptions} from './settings_change.js';
import {formatTable, formatTime, orHyphen} from './table.js';
import {readTextFile} from './text_file.js';
import {
  WAIT_ARGUMENTS,
  defineToolCommand,
  parseWholeNumber,
} from './tool_command.js';
import {ExitCodes} from './exit_codes.js';
import {createToolError, createUsageError} from './tool_error.js';

/** `burdockmoor settings …` */

const BRANCH_ARGUMENT = {
  type: 'positional',
  description: 'fleet, or the name of a team',
  required: true,
} as const;

const REVISION_LINE = /^; revision (\d+)\r?\n/;

export const getSettings = defineToolCommand({
  name: 'get',
  description: 'Print the text of a branch, preceded by its revision',
  example: 'burdockmoor settings get fleet > fleet.ini',
  args: {branch: BRANCH_ARGUMENT},
  async run(session, {branch}) {
    const path = settingsPath(branch);
    const found = await session.client.read<SettingsBranch>(path);
    if (found.version === 0) {
      session.reportProgress(`Branch ${branch} does not exist yet.`);
    }
    session.show(found, `; revision ${found.revision}\n${found.text}`);
  },
});

export const setSettings = defineToolCommand({
  name: 'set',
  description: 'Set one key of a branch and keep the rest of its text',
  example: 'burdockmoor settings set fleet leases task_lease_seconds 20 --wait',
  args: {
    branch: BRANCH_ARGUMENT,
    section: {
      type: 'positional',
      description:
        'The section as written in its header, such as "service rounds"',
      required: true,
    },
    key: {type: 'positional', description: 'The key', required: true},
    value: {type: 'positional', description: 'The value', required: true},
    ...WAIT_ARGUMENTS,
  },
  async run(session, args) {
    const {branch, section, key, value} = args;
    if (/[;#\r\n]/.test(value)) {
      throw createUsageError(
        'A value cannot contain a semicolon, number sign or line break.',
      );
    }
    const path = settingsPath(branch);
    const based = await session.client.read<SettingsBranch>(path);
    const text = withKey(based.text, section, key, value);
    validateBranchText(branch, text);
    const changed = await replaceBranch(session, {...based, branch}, text);
    await showChange(session, changed, 'Set', parseWaitOptions(args));
  },
});

export const applySettings = defineToolCommand({
  name: 'apply',
  description:
    'Replace a branch with the text of a file, if the branch still has the revision in the first line of the file',
  example: 'burdockmoor settings apply fleet fleet.ini --wait',
  args: {
    branch: BRANCH_ARGUMENT,
    file: {
      type: 'positional',
      description: 'File written by `settings get`, with your changes',
      required: true,
    },
    revision: {
      type: 'string',
      description: 'Revision that the text is based on; 0 for a new branch',
      valueHint: 'number',
    },
    ...WAIT_ARGUMENTS,
  },
  async run(session, args) {
    const {branch, file} = args;
    const content = readTextFile(file);
    const text = content.replace(REVISION_LINE, '');
    const given = parseWholeNumber('revision', args.revision);
    const revision = given ?? parseRevision(content);
    if (revision === undefined) {
      throw createUsageError(
        `${file} does not begin with "; revision NUMBER", as \`settings get\` writes it, and --revision is not given.`,
      );
    }
    validateBranchText(branch, text);
    const changed = await replaceBranch(session, {branch, revision}, text);
    await showChange(session, changed, 'Applied', parseWaitOptions(args));
  },
});

export const showHistory = defineToolCommand({
  name: 'history',
  description: 'List the versions of a branch, or print the text of one',
  example: 'burdockmoor settings history fleet',
  args: {
    branch: BRANCH_ARGUMENT,
    version: {
      type: 'string',
      description: 'Print the text of this version',
      valueHint: 'number',
    },
  },
  async run(session, {branch, version}) {
    const wanted = parseWholeNumber('version', version);
    const path = `${settingsPath(branch)}/history`;
    const history = await session.client.read<SettingsHistory>(path);
    if (wanted !== undefined) {
      const found = history.versions.find(item => item.version === wanted);
      if (!found) {
        throw createToolError(
          ExitCodes.NOT_FOUND,
          `Branch ${branch} has no version ${wanted}, or it is no longer kept.`,
        );
      }
      session.show(found, found.text);
      return;
    }
    const rows = history.versions.map(item => [
      item.version,
      formatTime(item.wallTime),
      orHyphen(item.author),
      `${item.text.split('\n').length} lines`,
    ]);
    const headings = ['VERSION', 'TIME', 'AUTHOR', 'TEXT'];
    session.show(history, formatTable(headings, rows));
  },
});

export const showStatus = defineToolCommand({
  name: 'status',
  description: 'List the revision that each process has in force',
  example: 'burdockmoor settings status',
  args: {},
  async run(session) {
    const path = '/v1/settings-status';
    const status = await session.client.read<SettingsStatus>(path);
    const rows = status.processes.map(process => [
      process.processId,
      process.role,
      process.settingsRevision,
      process.settingsRevision < status.revision ? 'lags' : 'in force',
      `${process.ageMillis} ms ago`,
    ]);
    const headings = ['PROCESS', 'ROLE', 'REVISION', 'STATE', 'HEARD'];
    const table = formatTable(headings, rows);
    session.show(status, `revision ${status.revision}\n${table}`);
  },
});

/** Returns the options given by `--wait` and `--timeout-seconds`. */
export function parseWaitOptions(args: {
  readonly wait?: boolean;
  readonly 'timeout-seconds': string;
}): WaitOptions {
  const timeoutSeconds = parseWholeNumber(
    'timeout-seconds',
    args['timeout-seconds'],
  )!;
  return {wait: args.wait ?? false, timeoutSeconds};
}

function parseRevision(content: string): number | undefined {
  const match = REVISION_LINE.exec(content);
  return match ? Number(match[1]) : undefined;
}
