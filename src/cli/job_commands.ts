import type {Job} from './api_types.js';
import {parseWaitOptions} from './settings_commands.js';
import {WAIT_ARGUMENTS, defineToolCommand} from './tool_command.js';
import {
  NAME_ARGUMENT,
  TEAM_ARGUMENT,
  createEndCommand,
  createExplainCommand,
  createListCommand,
  createShowCommand,
  showAfterEnd,
  submitWork,
  workPath,
} from './work_commands.js';
import type {WorkKind} from './work_commands.js';
import {formatJob} from './work_output.js';
import {SUBMISSION_ARGUMENTS, createSubmission} from './work_submission.js';

/** `burdockmoor job …` */

const JOB: WorkKind = {
  name: 'job',
  collection: 'jobs',
  endAction: 'cancel',
  exampleName: 'routes-0412',
};

export const showJob = createShowCommand(JOB);
export const listJobs = createListCommand(JOB);
export const explainJob = createExplainCommand(JOB);
export const cancelJob = createEndCommand(JOB);

export const submitJob = defineToolCommand({
  name: 'submit',
  description:
    'Submit a batch job; repeating the same submission returns the same job',
  example:
    'burdockmoor job submit asantewaa routes-0412 --tasks 4 --processors 0.5 --memory-megabytes 256 --wait',
  args: {
    team: TEAM_ARGUMENT,
    name: NAME_ARGUMENT,
    tasks: {
      type: 'string',
      description: 'Number of tasks',
      valueHint: 'number',
    },
    ...SUBMISSION_ARGUMENTS,
    'maximum-failures': {
      type: 'string',
      description:
        'Number of failed attempts after which a task is still retried',
      valueHint: 'number',
    },
    idempotent: {
      type: 'boolean',
      description: 'A task may run again after one of its attempts was lost',
      negativeDescription:
        'A task that may already have run is never run again',
    },
    ...WAIT_ARGUMENTS,
  },
  async run(session, args) {
    const body = createSubmission(args.name, args);
    const submitted = await submitWork(session, JOB, args.team, body);
    const path = workPath(JOB, args.team, args.name);
    const options = parseWaitOptions(args);
    await showAfterEnd(session, submitted, path, 'finished', options);
  },
});

export const confirmJob = defineToolCommand({
  name: 'confirm',
  description: 'Confirm a finished job in the name of a person',
  example: 'burdockmoor job confirm asantewaa routes-0412 --by efua',
  args: {
    team: TEAM_ARGUMENT,
    name: NAME_ARGUMENT,
    by: {
      type: 'string',
      description: 'Person who confirms the job; the author if not given',
      valueHint: 'name',
    },
  },
  async run(session, {team, name, by = session.author}) {
    const path = `${workPath(JOB, team, name)}/confirm`;
    const body = JSON.stringify({by});
    const job = await session.client.change<Job>('POST', path, {body});
    session.show(job, formatJob(job));
  },
});
