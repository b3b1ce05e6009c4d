import {attemptKey} from '../decisions/job_types.js';
import type {AttemptName} from '../decisions/job_types.js';

/**
 * Data that an agent parses from the ids of the worker's tasks after a restart.
 * Their format is `<shard>.<flags>/<team>/<job>/<task>/<attempt>`.
 */
export interface WorkerTaskIdentity {
  readonly name: AttemptName;
  readonly shard: number;
  readonly urgent: boolean;
  readonly evictable: boolean;
}

const URGENT_FLAG = 'u';
const EVICTABLE_FLAG = 'e';
const ID_PATTERN = /^(\d+)\.([ue]*)\/([^/]+)\/([^/]+)\/(\d+)\/(\d+)$/;

export function formatWorkerTaskId(identity: WorkerTaskIdentity): string {
  const urgent = identity.urgent ? URGENT_FLAG : '';
  const evictable = identity.evictable ? EVICTABLE_FLAG : '';
  return `${identity.shard}.${urgent}${evictable}/${attemptKey(identity.name)}`;
}

/** Returns undefined for the id of a task that no agent started. */
export function parseWorkerTaskId(id: string): WorkerTaskIdentity | undefined {
  const match = ID_PATTERN.exec(id);
  if (!match) return undefined;
  const [, shard, flags, team, job, task, attempt] = match;
  return {
    name: {team, job, task: Number(task), attempt: Number(attempt)},
    shard: Number(shard),
    urgent: flags.includes(URGENT_FLAG),
    evictable: flags.includes(EVICTABLE_FLAG),
  };
}
