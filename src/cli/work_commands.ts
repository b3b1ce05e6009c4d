import type {Job, JobExplanation} from './api_types.js';
import type {WaitOptions} from './settings_change.js';
import {waitOptionsOf} from './settings_commands.js';
import {
  WAIT_ARGUMENTS,
  defineToolCommand,
  wholeNumber,
} from './tool_command.js';
import type {ToolCommand} from './tool_command.js';
import type {ToolSession} from './tool_session.js';
import {
  formatExplanation,
  formatJob,
  formatJobs,
  throwUnlessEndedAs,
  waitForEnd,
} from './work_output.js';

/** Commands that batch jobs and watchers share. */

/** Whose commands they are. */
export interface WorkKind {
  /** As on the command line. */
  readonly word: 'job' | 'watcher';
  /** Segment of the path. */
  readonly collection: 'jobs' | 'watchers';
  /** The call that ends one. */
  readonly ending: 'cancel' | 'close';
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

export function showCommand(kind: WorkKind): ToolCommand {
  return defineToolCommand({
    name: 'show',
    description: `Show a ${kind.word} with its tasks`,
    example: `burdockmoor ${kind.word} show asantewaa ${kind.exampleName}`,
    args: {team: TEAM_ARGUMENT, name: NAME_ARGUMENT},
    async run(session, {team, name}) {
      const job = await session.client.read<Job>(workPath(kind, team, name));
      session.show(job, formatJob(job));
    },
  });
}

export function listCommand(kind: WorkKind): ToolCommand {
  return defineToolCommand({
    name: 'list',
    description: `List the ${kind.collection} of a team by name`,
    example: `burdockmoor ${kind.word} list asantewaa --limit 20`,
    args: {
      team: TEAM_ARGUMENT,
      after: {
        type: 'string',
        description: 'Begin behind this name',
        valueHint: 'name',
      },
      limit: {
        type: 'string',
        description: 'List at most so many',
        default: '100',
        valueHint: 'number',
      },
    },
    async run(session, {team, after, limit}) {
      const query = new URLSearchParams();
      query.set('limit', String(wholeNumber('limit', limit)));
      if (after !== undefined) query.set('after', after);
      const path = `${collectionPath(kind, team)}?${query.toString()}`;
      const jobs = await session.client.read<readonly Job[]>(path);
      session.show(jobs, formatJobs(jobs));
    },
  });
}

export function explainCommand(kind: WorkKind): ToolCommand {
  return defineToolCommand({
    name: 'explain',
    description: `Tell what was decided about a ${kind.word}, and why`,
    example: `burdockmoor ${kind.word} explain asantewaa ${kind.exampleName}`,
    args: {team: TEAM_ARGUMENT, name: NAME_ARGUMENT},
    async run(session, {team, name}) {
      const path = `${workPath(kind, team, name)}/explain`;
      const explanation = await session.client.read<JobExplanation>(path);
      session.show(explanation, formatExplanation(explanation));
    },
  });
}

/** Submits what the body describes, or finds it as submitted before. */
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

/** Shows a change; after a wait for the end, throws unless it ended so. */
export async function showUntilEnd(
  session: ToolSession,
  changed: Job,
  path: string,
  ending: Parameters<typeof throwUnlessEndedAs>[1],
  options: WaitOptions,
): Promise<void> {
  if (!options.wait) {
    session.show(changed, formatJob(changed));
    return;
  }
  const ended = await waitForEnd(session, path, options.timeoutSeconds);
  session.show(ended, formatJob(ended));
  throwUnlessEndedAs(ended, ending);
}

/** `job cancel` and `watcher close`. */
export function endCommand(kind: WorkKind): ToolCommand {
  return defineToolCommand({
    name: kind.ending,
    description: `${kind.ending === 'close' ? 'Close' : 'Cancel'} a ${kind.word}`,
    example: `burdockmoor ${kind.word} ${kind.ending} asantewaa ${kind.exampleName} --wait`,
    args: {
      team: TEAM_ARGUMENT,
      name: NAME_ARGUMENT,
      reason: {
        type: 'string',
        description: 'Why; `explain` shows it',
        valueHint: 'text',
      },
      ...WAIT_ARGUMENTS,
    },
    async run(session, args) {
      const path = workPath(kind, args.team, args.name);
      const body = JSON.stringify({reason: args.reason});
      const changed = await session.client.change<Job>(
        'POST',
        `${path}/${kind.ending}`,
        {body},
      );
      const options = waitOptionsOf(args);
      await showUntilEnd(session, changed, path, 'cancelled', options);
    },
  });
}
