import {defineToolCommand} from './tool_command.js';
import {
  NAME_ARGUMENT,
  TEAM_ARGUMENT,
  createEndCommand,
  createExplainCommand,
  createListCommand,
  createShowCommand,
  submitWork,
} from './work_commands.js';
import type {WorkKind} from './work_commands.js';
import {formatJob} from './work_output.js';
import {SUBMISSION_ARGUMENTS, createSubmission} from './work_submission.js';

/** `burdockmoor watcher …` */

const WATCHER: WorkKind = {
  name: 'watcher',
  collection: 'watchers',
  endAction: 'close',
  exampleName: 'freezer-van-7',
};

export const showWatcher = createShowCommand(WATCHER);
export const listWatchers = createListCommand(WATCHER);
export const explainWatcher = createExplainCommand(WATCHER);
export const closeWatcher = createEndCommand(WATCHER);

export const openWatcher = defineToolCommand({
  name: 'open',
  description: 'Open a watcher; it runs on one VM at a time until it is closed',
  example:
    'burdockmoor watcher open asantewaa freezer-van-7 --processors 0.1 --memory-megabytes 64',
  args: {team: TEAM_ARGUMENT, name: NAME_ARGUMENT, ...SUBMISSION_ARGUMENTS},
  async run(session, args) {
    const body = createSubmission(args.name, args);
    const opened = await submitWork(session, WATCHER, args.team, body);
    session.show(opened, formatJob(opened));
  },
});
