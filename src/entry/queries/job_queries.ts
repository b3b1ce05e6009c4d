import {JobKind} from '../../decisions/job_types.js';
import {ResultCodes} from '../../observability/result_codes.js';
import {apiError, jsonResponse} from '../http/api_types.js';
import type {ApiResponse, ApiCall} from '../http/api_types.js';
import type {ApiRouter} from '../http/api_router.js';
import {checkName} from '../http/job_submission.js';
import type {ShardAccess} from '../shards/shard_access.js';

const DEFAULT_PAGE_SIZE = 100;
const MAXIMUM_PAGE_SIZE = 1_000;

/** API calls that read jobs and watchers. */
export class JobQueries {
  constructor(private readonly access: ShardAccess) {}

  addRoutes(router: ApiRouter): void {
    this.addRoutesForKind(router, '/v1/teams/:team/jobs', JobKind.BATCH);
    this.addRoutesForKind(router, '/v1/teams/:team/watchers', JobKind.WATCHER);
  }

  private addRoutesForKind(
    router: ApiRouter,
    path: string,
    kind: JobKind,
  ): void {
    router.add('GET', path, (call, {team}) => this.list(call, team, kind));
    router.add('GET', `${path}/:name`, (call, {team, name}) =>
      this.show(call, team, name),
    );
    router.add('GET', `${path}/:name/explain`, (call, {team, name}) =>
      this.explain(call, team, name),
    );
  }

  private list(
    call: ApiCall,
    team: string,
    kind: JobKind,
  ): Promise<ApiResponse> {
    checkName('The team', team);
    const after = call.query.get('after') ?? '';
    const limit = readLimit(call.query.get('limit'));
    return this.access.runOnOwner(call, team, async owner => {
      return jsonResponse(owner.scheduler.list(team, kind, {after, limit}));
    });
  }

  private show(
    call: ApiCall,
    team: string,
    name: string,
  ): Promise<ApiResponse> {
    checkName('The team', team);
    return this.access.runOnOwner(call, team, async owner => {
      return jsonResponse(
        requireFound(owner.scheduler.job(team, name), team, name),
      );
    });
  }

  private explain(
    call: ApiCall,
    team: string,
    name: string,
  ): Promise<ApiResponse> {
    checkName('The team', team);
    return this.access.runOnOwner(call, team, async owner => {
      return jsonResponse(
        requireFound(owner.scheduler.explain(team, name), team, name),
      );
    });
  }
}

function requireFound<Found>(
  value: Found | undefined,
  team: string,
  name: string,
): Found {
  if (value !== undefined) return value;
  throw apiError(
    ResultCodes.NOT_FOUND,
    `Team ${team} has no job named ${name}.`,
  );
}

function readLimit(text: string | null): number {
  if (text === null) return DEFAULT_PAGE_SIZE;
  const limit = Number(text);
  if (Number.isInteger(limit) && limit >= 1 && limit <= MAXIMUM_PAGE_SIZE) {
    return limit;
  }
  throw apiError(
    ResultCodes.BAD_REQUEST,
    `Query parameter limit must be 1 to ${MAXIMUM_PAGE_SIZE}.`,
  );
}
