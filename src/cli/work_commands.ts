import type {Job, JobExplanation} from './api_types.js';
import type {WaitOptions} from './settings_change.js';
import {parseWaitOptions} from './settings_commands.js';
import {
  WAIT_ARGUMENTS,
  defineToolCommand,
  parseWholeNumber,
} from './tool_command.js';
import type {ToolCommand} from './tool_command.js';
import type {ToolSession} from './tool_session.js';
import {
  formatExplanation,
  formatJob,
  formatJobs,
  throwUnlessInPhase,
  waitForEnd,
} from './work_output.js';

/** Commands shared by batch jobs and watchers. */

/** Kind of work that a command handles. */
export interface WorkKind {
  /** Name on the command line. */
  readonly name: 'job' | 'watcher';
  /** Path segment of the HTTP API. */
  readonly collection: 'jobs' | 'watchers';
  /** Command, and action of the HTTP API, that ends the work. */
  readonly endAction: 'cancel' | 'close';
  readonly exampleName: string;
}

export const TEAM_ARGUMENT = {
  type: 'positional',
  description: 'The team',
  required: true,
} as const;

export const NAME_ARGUMENT = {
  type: 'positional',
  description: 'The name, unique in the team',
  required: true,
} as const;

function collectionPath(kind: WorkKind, team: string): string {
  return `/v1/teams/${encodeURIComponent(team)}/${kind.collection}`;
}

export function workPath(kind: WorkKind, team: string, name: string): string {
  return `${collectionPath(kind, team)}/${encodeURIComponent(name)}`;
}

export function createShowCommand(kind: WorkKind): ToolCommand {
  return defineToolCommand({
    name: 'show',
    description: `Show a ${kind.name} with its tasks`,
    example: `burdockmoor ${kind.name} show asantewaa ${kind.exampleName}`,
    args: {team: TEAM_ARGUMENT, name: NAME_ARGUMENT},
    async run(session, {team, name}) {
      const job = await session.client.read<Job>(workPath(kind, team, name));
      session.show(job, formatJob(job));
    },
  });
}

export function createListCommand(kind: WorkKind): ToolCommand {
  return defineToolCommand({
    name: 'list',
    description: `List the ${kind.collection} of a team by name`,
    example: `burdockmoor ${kind.name} list asantewaa --limit 20`,
    args: {
      team: TEAM_ARGUMENT,
      after: {
        type: 'string',
        description: 'List only names that follow this one',
        valueHint: 'name',
      },
      limit: {
        type: 'string',
        description: 'Maximum number to list',
        default: '100',
        valueHint: 'number',
      },
    },
    async run(session, {team, after, limit}) {
      const query = new URLSearchParams();
      query.set('limit', String(parseWholeNumber('limit', limit)));
      if (after !== undefined) query.set('after', after);
      const path = `${collectionPath(kind, team)}?${query.toString()}`;
      const jobs = await session.client.read<readonly Job[]>(path);
      session.show(jobs, formatJobs(jobs));
    },
  });
}

export function createExplainCommand(kind: WorkKind): ToolCommand {
  return defineToolCommand({
    name: 'explain',
    description: `Show the decisions about a ${kind.name} and their reasons`,
    example: `burdockmoor ${kind.name} explain asantewaa ${kind.exampleName}`,
    args: {team: TEAM_ARGUMENT, name: NAME_ARGUMENT},
    async run(session, {team, name}) {
      const path = `${workPath(kind, team, name)}/explain`;
      const explanation = await session.client.read<JobExplanation>(path);
      session.show(explanation, formatExplanation(explanation));
    },
  });
}

/** Submits a job or watcher; a repeated submission returns the existing one. */
export function submitWork(
  session: ToolSession,
  kind: WorkKind,
  team: string,
  body: object,
): Promise<Job> {
  return session.client.change<Job>('POST', collectionPath(kind, team), {
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(body),
  });
}

/** Shows a changed job; after a wait, throws unless it is in `expectedPhase`. */
export async function showAfterEnd(
  session: ToolSession,
  changed: Job,
  path: string,
  expectedPhase: Parameters<typeof throwUnlessInPhase>[1],
  options: WaitOptions,
): Promise<void> {
  if (!options.wait) {
    session.show(changed, formatJob(changed));
    return;
  }
  const ended = await waitForEnd(session, path, options.timeoutSeconds);
  session.show(ended, formatJob(ended));
  throwUnlessInPhase(ended, expectedPhase);
}

/** Creates the command `job cancel` or `watcher close`. */
export function createEndCommand(kind: WorkKind): ToolCommand {
  return defineToolCommand({
    name: kind.endAction,
    description: `${kind.endAction === 'close' ? 'Close' : 'Cancel'} a ${kind.name}`,
    example: `burdockmoor ${kind.name} ${kind.endAction} asantewaa ${kind.exampleName} --wait`,
    args: {
      team: TEAM_ARGUMENT,
      name: NAME_ARGUMENT,
      reason: {
        type: 'string',
        description: 'Reason, shown by `explain`',
        valueHint: 'text',
      },
      ...WAIT_ARGUMENTS,
    },
    async run(session, args) {
      const path = workPath(kind, args.team, args.name);
      const body = JSON.stringify({reason: args.reason});
      const changed = await session.client.change<Job>(
        'POST',
        `${path}/${kind.endAction}`,
        {body},
      );
      const options = parseWaitOptions(args);
      await showAfterEnd(session, changed, path, 'cancelled', options);
    },
  });
}
