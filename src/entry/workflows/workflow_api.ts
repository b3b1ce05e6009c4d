import {TokenBucket} from '../../backends/token_bucket.js';
import type {TransactionalStore} from '../../backends/transactional_store.js';
import {retryAfterSeconds} from '../../decisions/workflows/retry_after.js';
import {
  decodeEnded,
  isRefusal,
} from '../../decisions/workflows/workflow_codec.js';
import {findExcess} from '../../decisions/workflows/workflow_limits.js';
import type {WorkflowExcess} from '../../decisions/workflows/workflow_limits.js';
import {WorkflowState} from '../../decisions/workflows/workflow_types.js';
import type {
  QueueConfiguration,
  StepSpec,
  WorkflowSchedule,
  WorkflowSpec,
} from '../../decisions/workflows/workflow_types.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Clock} from '../../utilities/clock.js';
import {withDeadline} from '../../utilities/deadline.js';
import type {ApiResponse, ApiCall} from '../http/api_types.js';
import type {ConfigurationFollower} from './configuration_follower.js';
import type {OwnerClient} from './owner_client.js';
import {progressKey, specKey} from '../../protocol/store_keys.js';
import {Acceptance} from './workflow_acceptor.js';
import type {StoreHealth} from './store_health.js';
import type {WorkflowAcceptor} from './workflow_acceptor.js';
import type {WorkflowCanceller} from './workflow_canceller.js';

/** Decoders and encoders of callers' documents. */
export interface CallerDocuments {
  isWorkflowId(text: string): boolean;
  decodeSubmission(text: string):
    | {
        readonly payload: string;
        readonly steps: readonly StepSpec[];
        readonly schedule?: WorkflowSchedule;
      }
    | undefined;
  encodeState(state: WorkflowState): string;
  encodeWaiting(count: number): string;
  encodeExcess(excess: WorkflowExcess): string;
}

export interface WorkflowApiOptions {
  readonly configuration: ConfigurationFollower;
  readonly acceptor: WorkflowAcceptor;
  readonly canceller: WorkflowCanceller;
  readonly owner: OwnerClient;
  readonly store: TransactionalStore;
  readonly health: StoreHealth;
  readonly documents: CallerDocuments;
  /** Rates of the store for all processes together. */
  readonly storeRates?: StoreRates;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Calls a second that the store executes. */
export interface StoreRates {
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
}

const DEFAULT_STORE_RATES: StoreRates = {
  writesPerSecond: 400,
  readsPerSecond: 2_000,
};
/** Shares of these rates that the callers of one entry may use. */
const SUBMISSION_SHARE = 1 / 4;
/** Looking up a workflow takes two reads. */
const LOOKUP_SHARE = 1 / 20;
/** Seconds after which a rate that was not used is used up at once. */
const BURST_SECONDS = 4;

/** Time for the store to respond, well below callers' deadlines. */
const STORE_TIMEOUT_MILLIS = 900;

/** The queue or workflow that a call addresses. */
interface Target {
  readonly queue: QueueConfiguration;
  /** Empty for the queue itself. */
  readonly workflow: string;
}

/** Serves callers: submits, shows, cancels and counts waiting workflows. */
export class WorkflowApi {
  private readonly lookupBudget: TokenBucket;
  private readonly submissionBudget: TokenBucket;

  constructor(private readonly options: WorkflowApiOptions) {
    const {clock, storeRates = DEFAULT_STORE_RATES} = options;
    const lookupRate = storeRates.readsPerSecond * LOOKUP_SHARE;
    const submissionRate = storeRates.writesPerSecond * SUBMISSION_SHARE;
    this.lookupBudget = createBudget(lookupRate, clock);
    this.submissionBudget = createBudget(submissionRate, clock);
  }

  async handle(call: ApiCall): Promise<ApiResponse> {
    const target = await this.findTarget(call);
    if (!('queue' in target)) return target;
    const {workflow} = target;
    if (workflow === '') return this.countWaiting(target, call);
    if (!this.options.documents.isWorkflowId(workflow))
      return createResponse(404);
    if (call.method === 'POST') return this.submit(target, call);
    if (call.method === 'GET') return this.show(workflow);
    if (call.method === 'DELETE') return this.cancel(workflow);
    return createResponse(405);
  }

  /** Refreshes the configuration for an unknown queue: it may be new. */
  private async findTarget(call: ApiCall): Promise<Target | ApiResponse> {
    const {configuration} = this.options;
    const path = call.target.split('?', 1)[0];
    const host = call.headers.get('host') ?? '';
    if (!configuration.table) return this.retryLater();
    let queue = configuration.table.find(host, path);
    if (!queue) {
      const isUpToDate = await configuration.refresh();
      queue = configuration.table.find(host, path);
      if (!queue) return isUpToDate ? createResponse(404) : this.retryLater();
    }
    return {queue, workflow: path.slice(queue.prefix.length)};
  }

  private async submit(
    {queue, workflow}: Target,
    call: ApiCall,
  ): Promise<ApiResponse> {
    const {documents, clock, logger, acceptor} = this.options;
    const text = Buffer.from(call.body).toString('utf8');
    const submission = documents.decodeSubmission(text);
    if (!submission) {
      const reason = 'the body is not a valid workflow';
      logger.event(Events.WORKFLOW_REFUSED, {workflow, reason});
      return createResponse(400);
    }
    const excess = findExcess(submission.steps, submission.schedule);
    if (excess) {
      const reason = 'it is beyond a limit';
      logger.event(Events.WORKFLOW_REFUSED, {workflow, reason, ...excess});
      return createResponse(400, documents.encodeExcess(excess));
    }
    const spec: WorkflowSpec = {
      ...submission,
      id: workflow,
      queue: queue.name,
      terms: {
        service: queue.service,
        priority: queue.priority,
        maximumFailures: queue.maximumFailures,
        stretch: queue.stretch,
        latencyTargetMillis: queue.latencyTargetMillis,
        advice: queue.advice,
      },
      acceptedAtMillis: clock.wallTime(),
    };
    if (!this.submissionBudget.tryTake(clock.now())) {
      const reason = 'too many at once';
      logger.event(Events.WORKFLOW_REFUSED, {workflow, reason});
      return this.refuseAtRate(this.submissionBudget);
    }
    const {acceptance, retryAfterSeconds: wait} = await acceptor.submit(spec);
    if (wait !== undefined) return createRetryResponse(429, wait);
    if (acceptance === Acceptance.STORED) return createResponse(200);
    // The result is unknown: the caller has to retry with the same id.
    return acceptance === Acceptance.UNKNOWN
      ? createResponse(504)
      : this.retryLater();
  }

  private async cancel(workflow: string): Promise<ApiResponse> {
    if (!(await this.mayLookUp(workflow)))
      return this.refuseAtRate(this.lookupBudget);
    const acceptance = await this.options.canceller.cancel(workflow);
    if (acceptance === Acceptance.STORED) return createResponse(200);
    if (acceptance === Acceptance.ABSENT) return createResponse(410);
    return acceptance === Acceptance.UNKNOWN
      ? createResponse(504)
      : this.retryLater();
  }

  private async show(workflow: string): Promise<ApiResponse> {
    const {owner, documents} = this.options;
    const response = await owner.show(workflow);
    const state = response?.state;
    if (state) return createResponse(200, documents.encodeState(state));
    if (!this.lookupBudget.tryTake(this.options.clock.now()))
      return this.refuseAtRate(this.lookupBudget);
    return this.showStored(workflow);
  }

  /** Whether the rate allows a lookup, or the owner knows the workflow. */
  private async mayLookUp(workflow: string): Promise<boolean> {
    const {owner, clock} = this.options;
    if (this.lookupBudget.tryTake(clock.now())) return true;
    const response = await owner.show(workflow);
    return response?.state !== undefined;
  }

  /** Used for a workflow unknown to the owner, or without a reachable owner. */
  private async showStored(workflow: string): Promise<ApiResponse> {
    const {store, documents, logger, clock} = this.options;
    try {
      const read = Promise.all([
        store.get(progressKey(workflow)),
        store.get(specKey(workflow)),
      ]);
      const stored = await withDeadline(clock, STORE_TIMEOUT_MILLIS, read);
      if (!stored) return this.retryLater();
      const [progress, spec] = stored;
      if (!progress && !spec) return createResponse(410);
      if (spec && isRefusal(spec.value)) return createResponse(410);
      const openState = progress ? WorkflowState.RUNNING : WorkflowState.QUEUED;
      const ended = spec && decodeEnded(spec.value);
      return createResponse(
        200,
        documents.encodeState(ended?.state ?? openState),
      );
    } catch (error) {
      const reason = messageOf(error);
      logger.event(Events.WORKFLOW_UNDECIDED, {workflow, reason});
      return this.retryLater();
    }
  }

  private async countWaiting(
    {queue}: Target,
    call: ApiCall,
  ): Promise<ApiResponse> {
    if (call.method !== 'GET') return createResponse(405);
    const {owner, documents} = this.options;
    const waiting = await owner.countWaiting(queue.name);
    if (waiting === undefined) return this.retryLater();
    return createResponse(200, documents.encodeWaiting(waiting));
  }

  private refuseAtRate(budget: TokenBucket): ApiResponse {
    const waitMillis = budget.millisUntil(1, this.options.clock.now());
    return createRetryResponse(503, retryAfterSeconds(waitMillis));
  }

  /** Returns 503 with a Retry-After header: the request was not carried out. */
  private retryLater(): ApiResponse {
    const {unansweredMillis} = this.options.health;
    return createRetryResponse(503, retryAfterSeconds(unansweredMillis));
  }
}

function createBudget(ratePerSecond: number, clock: Clock): TokenBucket {
  const burst = ratePerSecond * BURST_SECONDS;
  return new TokenBucket(ratePerSecond, burst, clock.now());
}

function createRetryResponse(status: number, seconds: number): ApiResponse {
  const headers = [['retry-after', String(seconds)]] as const;
  return {status, headers, body: Buffer.alloc(0)};
}

function createResponse(status: number, body = ''): ApiResponse {
  const headers: Array<readonly [string, string]> =
    body === '' ? [] : [['content-type', 'application/json']];
  return {status, headers, body: Buffer.from(body)};
}
