import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import {ResultCodes} from '../../observability/result_codes.js';
import {
  branchFaults,
  withFailureDomain,
  withVmDrain,
} from '../../settings/settings_branches.js';
import type {SettingsFault} from '../../settings/settings_fault.js';
import {FLEET_BRANCH} from '../../settings/settings_types.js';
import type {SettingsView} from '../../settings/settings_view.js';
import {RETRY_AFTER_MILLIS, apiError, jsonAnswer} from '../http/api_types.js';
import type {ApiAnswer, ApiCall} from '../http/api_types.js';
import type {ApiRouter} from '../http/api_router.js';
import {checkName} from '../http/job_submission.js';
import type {
  BranchChange,
  BranchContent,
  SettingsBranchesStore,
} from '../settings_branches_store.js';

const EDIT_TRIALS = 5;
const MAXIMUM_TEXT_BYTES = 65_536;

/** Calls that change settings branches. */
export class SettingsCommands {
  constructor(
    private readonly branches: SettingsBranchesStore,
    private readonly settings: SettingsView,
    private readonly logger: Logger,
    /** Puts what was written in force here; resolves once it is. */
    private readonly refresh: () => Promise<void>,
  ) {}

  addRoutes(router: ApiRouter): void {
    router.add('PUT', '/v1/settings/:branch', (call, {branch}) =>
      this.replace(call, branch),
    );
    router.add('POST', '/v1/failure-domains/:name/out', (call, {name}) =>
      this.edit(call, name, text => withFailureDomain(text, name, true)),
    );
    router.add('POST', '/v1/failure-domains/:name/in', (call, {name}) =>
      this.edit(call, name, text => withFailureDomain(text, name, false)),
    );
    router.add('POST', '/v1/vms/:name/drain', (call, {name}) =>
      this.edit(call, name, text => withVmDrain(text, name, true)),
    );
    router.add('POST', '/v1/vms/:name/undrain', (call, {name}) =>
      this.edit(call, name, text => withVmDrain(text, name, false)),
    );
  }

  private async replace(call: ApiCall, branch: string): Promise<ApiAnswer> {
    checkName('The branch', branch);
    const expected = readRevision(call.headers.get('if-match'));
    const text = readText(call.body);
    checkText(branch, text);
    throwFaults(branch, this.settings.ownershipFaults(branch, text));
    const based = await this.branches.read(branch);
    if (based.revision !== expected) throw conflict(based, text);
    const change = {author: readAuthor(call), text};
    return this.finish(await this.branches.change(based, change), text);
  }

  /** Changes one thing of the fleet branch, on top of whatever stands there. */
  private async edit(
    call: ApiCall,
    name: string,
    change: (text: string) => string,
  ): Promise<ApiAnswer> {
    checkName('The name', name);
    const author = readAuthor(call);
    for (let trial = 0; trial < EDIT_TRIALS; trial++) {
      const based = await this.branches.read(FLEET_BRANCH);
      const before = based.stored?.text ?? '';
      const text = change(before);
      if (text === before && based.stored) return answerOf(based);
      checkText(FLEET_BRANCH, text);
      const result = await this.branches.change(based, {author, text});
      if (result.kind === 'conflict') continue;
      return this.finish(result, text);
    }
    throw apiError(
      ResultCodes.SETTINGS_CONFLICT,
      `The fleet branch was changed by others in ${EDIT_TRIALS} trials.`,
      {retryAfterMillis: RETRY_AFTER_MILLIS},
    );
  }

  private async finish(
    result: BranchChange,
    proposed: string,
  ): Promise<ApiAnswer> {
    if (result.kind === 'conflict') throw conflict(result.content, proposed);
    if (result.kind === 'notWritten') {
      throw apiError(ResultCodes.STORE_UNAVAILABLE, result.reason, {
        retryAfterMillis: RETRY_AFTER_MILLIS,
      });
    }
    if (result.kind === 'unknown') {
      throw apiError(ResultCodes.STORE_OUTCOME_UNKNOWN, result.reason, {
        retryAfterMillis: RETRY_AFTER_MILLIS,
      });
    }
    const {branch, revision, stored} = result.content;
    this.logger.event(Events.SETTINGS_CHANGED, {
      branch,
      revision,
      author: stored?.author,
    });
    await this.refresh();
    return answerOf(result.content);
  }
}

/** The answer that shows a branch. */
export function answerOf(content: BranchContent): ApiAnswer {
  const {branch, revision, stored} = content;
  const body = {
    branch,
    revision,
    version: stored?.version ?? 0,
    author: stored?.author ?? '',
    wallTime: stored?.wallTime ?? 0,
    text: stored?.text ?? '',
  };
  return jsonAnswer(body, {headers: [['etag', String(revision)]]});
}

function conflict(current: BranchContent, proposed: string): Error {
  const {branch, revision, stored} = current;
  return apiError(
    ResultCodes.SETTINGS_CONFLICT,
    `Branch ${branch} is at revision ${revision}, by ${stored?.author ?? 'nobody'}.`,
    {
      details: {
        current: {
          revision,
          version: stored?.version ?? 0,
          author: stored?.author ?? '',
          text: stored?.text ?? '',
        },
        proposed: {text: proposed},
      },
    },
  );
}

function checkText(branch: string, text: string): void {
  throwFaults(branch, branchFaults(branch, text));
}

function throwFaults(branch: string, faults: readonly SettingsFault[]): void {
  if (faults.length === 0) return;
  throw apiError(
    ResultCodes.SETTINGS_INVALID,
    `The text of ${branch} has ${faults.length} faults.`,
    {details: {faults}},
  );
}

function readRevision(value: string | undefined): number {
  const revision = Number(value?.replaceAll('"', ''));
  if (value !== undefined && Number.isSafeInteger(revision) && revision >= 0) {
    return revision;
  }
  throw apiError(
    ResultCodes.BAD_REQUEST,
    'Header if-match is not the revision that the change is based on.',
  );
}

function readAuthor(call: ApiCall): string {
  const author = call.headers.get('x-author') ?? 'unknown';
  return author.slice(0, 100);
}

function readText(body: Uint8Array): string {
  if (body.byteLength > MAXIMUM_TEXT_BYTES) {
    throw apiError(
      ResultCodes.BODY_TOO_LARGE,
      `The text is over ${MAXIMUM_TEXT_BYTES} bytes.`,
    );
  }
  return Buffer.from(body).toString('utf8');
}
