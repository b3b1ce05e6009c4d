import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import {ResultCodes} from '../../observability/result_codes.js';
import {
  branchFaults,
  withFailureDomainOut,
  withVmDrain,
} from '../../settings/settings_branches.js';
import type {SettingsFault} from '../../settings/settings_fault.js';
import {FLEET_BRANCH} from '../../settings/settings_types.js';
import type {SettingsView} from '../../settings/settings_view.js';
import {RETRY_AFTER_MILLIS, apiError, jsonResponse} from '../http/api_types.js';
import type {ApiResponse, ApiCall} from '../http/api_types.js';
import type {ApiRouter} from '../http/api_router.js';
import {checkName} from '../http/job_submission.js';
import type {
  BranchChange,
  BranchContent,
  SettingsBranchesStore,
} from '../settings_branches_store.js';

const MAXIMUM_EDIT_ATTEMPTS = 5;
const MAXIMUM_TEXT_BYTES = 65_536;

/** API calls that change settings branches. */
export class SettingsCommands {
  constructor(
    private readonly branches: SettingsBranchesStore,
    private readonly settings: SettingsView,
    private readonly logger: Logger,
    /** Applies stored settings in this process; resolves once it has. */
    private readonly refresh: () => Promise<void>,
  ) {}

  addRoutes(router: ApiRouter): void {
    router.add('PUT', '/v1/settings/:branch', (call, {branch}) =>
      this.replace(call, branch),
    );
    router.add('POST', '/v1/failure-domains/:name/out', (call, {name}) =>
      this.editFleetBranch(call, name, text =>
        withFailureDomainOut(text, name, true),
      ),
    );
    router.add('POST', '/v1/failure-domains/:name/in', (call, {name}) =>
      this.editFleetBranch(call, name, text =>
        withFailureDomainOut(text, name, false),
      ),
    );
    router.add('POST', '/v1/vms/:name/drain', (call, {name}) =>
      this.editFleetBranch(call, name, text => withVmDrain(text, name, true)),
    );
    router.add('POST', '/v1/vms/:name/undrain', (call, {name}) =>
      this.editFleetBranch(call, name, text => withVmDrain(text, name, false)),
    );
  }

  private async replace(call: ApiCall, branch: string): Promise<ApiResponse> {
    checkName('The branch', branch);
    const expected = readRevision(call.headers.get('if-match'));
    const text = readText(call.body);
    validateText(branch, text);
    throwIfInvalid(branch, this.settings.ownershipFaults(branch, text));
    const base = await this.branches.read(branch);
    if (base.revision !== expected) throw conflict(base, text);
    const change = {author: readAuthor(call), text};
    return this.completeChange(await this.branches.change(base, change), text);
  }

  /** Edits the current text of the fleet branch; retries after a conflict. */
  private async editFleetBranch(
    call: ApiCall,
    name: string,
    change: (text: string) => string,
  ): Promise<ApiResponse> {
    checkName('The name', name);
    const author = readAuthor(call);
    for (let attempt = 0; attempt < MAXIMUM_EDIT_ATTEMPTS; attempt++) {
      const base = await this.branches.read(FLEET_BRANCH);
      const before = base.stored?.text ?? '';
      const text = change(before);
      if (text === before && base.stored) return branchResponse(base);
      validateText(FLEET_BRANCH, text);
      const result = await this.branches.change(base, {author, text});
      if (result.kind === 'conflict') continue;
      return this.completeChange(result, text);
    }
    throw apiError(
      ResultCodes.SETTINGS_CONFLICT,
      `The fleet branch was changed concurrently in each of ${MAXIMUM_EDIT_ATTEMPTS} edit attempts.`,
      {retryAfterMillis: RETRY_AFTER_MILLIS},
    );
  }

  private async completeChange(
    result: BranchChange,
    proposed: string,
  ): Promise<ApiResponse> {
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
    return branchResponse(result.content);
  }
}

/** Returns the response with the content of a branch. */
export function branchResponse(content: BranchContent): ApiResponse {
  const {branch, revision, stored} = content;
  const body = {
    branch,
    revision,
    version: stored?.version ?? 0,
    author: stored?.author ?? '',
    wallTime: stored?.wallTime ?? 0,
    text: stored?.text ?? '',
  };
  return jsonResponse(body, {headers: [['etag', String(revision)]]});
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

function validateText(branch: string, text: string): void {
  throwIfInvalid(branch, branchFaults(branch, text));
}

function throwIfInvalid(
  branch: string,
  faults: readonly SettingsFault[],
): void {
  if (faults.length === 0) return;
  throw apiError(
    ResultCodes.SETTINGS_INVALID,
    `The text of ${branch} has ${faults.length} errors.`,
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
    'Header if-match must be the revision that the change is based on.',
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
