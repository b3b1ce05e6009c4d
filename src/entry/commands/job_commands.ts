import {JobKind} from '../../decisions/job_types.js';
import {ResultCodes} from '../../observability/result_codes.js';
import type {SettingsView} from '../../settings/settings_view.js';
import type {Clock} from '../../utilities/clock.js';
import {messageOf} from '../../utilities/base_error.js';
import {RETRY_AFTER_MILLIS, apiError, jsonResponse} from '../http/api_types.js';
import type {ApiResponse, ApiCall} from '../http/api_types.js';
import type {ApiRouter} from '../http/api_router.js';
import {
  checkName,
  readJsonObject,
  readSubmission,
} from '../http/job_submission.js';
import type {ShardAccess} from '../shards/shard_access.js';
import {ShardDroppedError} from '../shards/shard_owner.js';
import type {ShardOwner} from '../shards/shard_owner.js';

const DURABLE_DEADLINE_MILLIS = 5_000;
const CREATED = 201;
const MAXIMUM_REASON_CHARACTERS = 200;

/** API calls that change jobs and watchers. */
export class JobCommands {
  constructor(
    private readonly access: ShardAccess,
    private readonly settings: SettingsView,
    private readonly clock: Clock,
  ) {}

  addRoutes(router: ApiRouter): void {
    const jobs = '/v1/teams/:team/jobs';
    const watchers = '/v1/teams/:team/watchers';
    router.add('POST', jobs, (call, {team}) =>
      this.submit(call, team, JobKind.BATCH),
    );
    router.add('POST', watchers, (call, {team}) =>
      this.submit(call, team, JobKind.WATCHER),
    );
    router.add('POST', `${jobs}/:name/cancel`, (call, {team, name}) =>
      this.cancel(call, team, name),
    );
    router.add('POST', `${watchers}/:name/close`, (call, {team, name}) =>
      this.cancel(call, team, name),
    );
    router.add('POST', `${jobs}/:name/confirm`, (call, {team, name}) =>
      this.confirm(call, team, name),
    );
  }

  private submit(
    call: ApiCall,
    team: string,
    kind: JobKind,
  ): Promise<ApiResponse> {
    const defaultUrgency = this.settings.team(
      checkName('The team', team),
    ).defaultUrgency;
    const specification = readSubmission(call.body, {
      team,
      kind,
      defaultUrgency,
    });
    return this.access.runOnOwner(call, team, async owner => {
      const result = owner.scheduler.submit(
        specification,
        this.clock.now(),
        this.clock.wallTime(),
      );
      await this.waitUntilDurable(owner);
      if (result.kind === 'conflict') {
        throw apiError(
          ResultCodes.JOB_CONFLICT,
          `Team ${team} has another job named ${specification.name}.`,
        );
      }
      const job = owner.scheduler.job(team, specification.name);
      const status = result.kind === 'accepted' ? CREATED : 200;
      return jsonResponse(job, {status});
    });
  }

  private cancel(
    call: ApiCall,
    team: string,
    name: string,
  ): Promise<ApiResponse> {
    const reason = readText(call, 'reason', 'asked by the team');
    return this.change(call, team, name, owner =>
      owner.scheduler.cancel(
        team,
        name,
        reason,
        this.clock.now(),
        this.clock.wallTime(),
      ),
    );
  }

  private confirm(
    call: ApiCall,
    team: string,
    name: string,
  ): Promise<ApiResponse> {
    const by = readText(call, 'by');
    return this.change(call, team, name, owner =>
      owner.scheduler.confirm(team, name, by, this.clock.wallTime()),
    );
  }

  private change(
    call: ApiCall,
    team: string,
    name: string,
    decide: (owner: ShardOwner) => {readonly kind: string},
  ): Promise<ApiResponse> {
    return this.access.runOnOwner(call, team, async owner => {
      const result = decide(owner);
      await this.waitUntilDurable(owner);
      if (result.kind === 'notFound') {
        throw apiError(
          ResultCodes.NOT_FOUND,
          `Team ${team} has no job named ${name}.`,
        );
      }
      if (result.kind === 'open') {
        throw apiError(ResultCodes.JOB_OPEN, `Job ${name} has not ended yet.`);
      }
      if (result.kind === 'closed') {
        throw apiError(
          ResultCodes.JOB_CLOSED,
          `Job ${name} has ended already.`,
        );
      }
      return jsonResponse(owner.scheduler.job(team, name));
    });
  }

  /**
   * Resolves once the scheduler's decisions are durable.
   *
   * @throws ApiError when the shard is dropped or the store does not respond in
   * time: the outcome is then unknown.
   */
  private async waitUntilDurable(owner: ShardOwner): Promise<void> {
    const durable = owner.waitUntilDurable();
    const timeout = new Promise<never>((_resolve, reject) => {
      const timer = this.clock.schedule(DURABLE_DEADLINE_MILLIS, () =>
        reject(outcomeUnknownError('the store has not responded yet')),
      );
      const cancel = (): void => timer.cancel();
      durable.then(cancel, cancel);
    });
    try {
      await Promise.race([durable, timeout]);
    } catch (error) {
      if (!(error instanceof ShardDroppedError)) throw error;
      throw outcomeUnknownError(messageOf(error));
    }
  }
}

function outcomeUnknownError(reason: string): Error {
  return apiError(
    ResultCodes.STORE_OUTCOME_UNKNOWN,
    `${ResultCodes.STORE_OUTCOME_UNKNOWN.meaning} ${reason}. It is safe to repeat the same call.`,
    {retryAfterMillis: RETRY_AFTER_MILLIS},
  );
}

function readText(call: ApiCall, field: string, defaultValue?: string): string {
  const value = readJsonObject(call.body)[field] ?? defaultValue;
  const isValid =
    typeof value === 'string' &&
    value.length > 0 &&
    value.length <= MAXIMUM_REASON_CHARACTERS;
  if (isValid) return value;
  throw apiError(
    ResultCodes.BAD_REQUEST,
    `Field ${field} must be text of 1 to ${MAXIMUM_REASON_CHARACTERS} characters.`,
  );
}
