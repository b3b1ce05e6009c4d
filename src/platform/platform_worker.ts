import {
  array,
  fallback,
  finite,
  integer,
  is,
  maxValue,
  minValue,
  number,
  object,
  optional,
  pipe,
  safeParse,
  unknown,
} from 'valibot';
import {HttpConnections} from '../backends/http_connections.js';
import type {HttpResponse} from '../backends/http_exchange.js';
import {RunOutcome, StartRefusal} from '../backends/leased_worker.js';
import type {
  LeasedWorker,
  WorkerPoll,
  WorkerRunList,
  WorkerPace,
  WorkerRun,
  WorkerRunEnd,
  WorkerStart,
  WorkerStop,
} from '../backends/leased_worker.js';
import {
  WorkerRefusedError,
  WorkerUnavailableError,
} from '../backends/platform_errors.js';
import {messageOf} from '../utilities/base_error.js';
import {parseResponseBody} from './json_parsing.js';
import {
  amountSchema,
  countSchema,
  nameSchema,
  timestampSchema,
} from './wire_values.js';

/** The worker is on the same machine; even a busy one responds sooner. */
const CALL_TIMEOUT_MILLIS = 500;
/** Time for the response to a hold call to arrive after its wait. */
const HOLD_GRACE_MILLIS = 400;
/** One for a waiting hold call, the others for concurrent starts and stops. */
const CONNECTIONS = 6;
const REPLACED_STATUS = 421;
const ALL_PERCENT = 100;

const REFUSALS: ReadonlySet<string> = new Set(Object.values(StartRefusal));
const OUTCOMES: ReadonlySet<string> = new Set(Object.values(RunOutcome));

/** Numbers of ends start at 1. */
const endNumberSchema = pipe(
  number(),
  integer(),
  minValue(1),
  maxValue(Number.MAX_SAFE_INTEGER),
);

const holdResponseSchema = object({
  /** Reading of the worker's monotonic clock. */
  ClockMs: pipe(number(), finite()),
  /** Wall-clock time at which this incarnation of the worker started. */
  born: fallback(optional(timestampSchema), undefined),
  /** Rows of task, run, checkpoint, percent and measure. */
  Running: optional(array(unknown()), []),
  /** Rows of number, task, run, outcome and checkpoint. */
  Ended: optional(array(unknown()), []),
});

export interface PlatformWorkerOptions {
  /** HOST:PORT */
  readonly address: string;
  /** The incarnation to which the calls are addressed. */
  readonly id: string;
}

/** Calls to the worker beside an agent over HTTP with JSON bodies. */
export class PlatformWorker implements LeasedWorker {
  private readonly connections: HttpConnections;

  constructor(private readonly options: PlatformWorkerOptions) {
    this.connections = new HttpConnections({
      address: options.address,
      connections: CONNECTIONS,
      silenceMillis: HOLD_GRACE_MILLIS + 2_000,
    });
  }

  get endedConnections(): number {
    return this.connections.endedConnections;
  }

  async start(start: WorkerStart): Promise<StartRefusal | undefined> {
    const response = await this.call('/-/run-start', {
      Task: start.task,
      Run: start.run,
      Spec: start.payload,
      ExpiresMs: Math.floor(start.leaseEnd),
      FencingToken: start.fencingToken,
      ...(start.checkpoint === '' ? {} : {Checkpoint: start.checkpoint}),
      ...(start.ticket === '' ? {} : {Ticket: start.ticket}),
    });
    if (response.status === 200) return undefined;
    if (response.status === REPLACED_STATUS) return StartRefusal.REPLACED;
    if (response.status !== 409) return refusalForStatus(response);
    const {Reason: reason} = decode<{Reason?: string}>(response);
    if (reason !== undefined && REFUSALS.has(reason)) {
      return reason as StartRefusal;
    }
    return StartRefusal.REJECTED;
  }

  async stop(stop: WorkerStop): Promise<void> {
    expectOk(await this.call('/-/run-stop', toWireStop(stop)));
  }

  async pace(pace: WorkerPace): Promise<void> {
    const body = {...toWireStop(pace), Percent: pace.percent};
    expectOk(await this.call('/-/pace', body));
  }

  async pollRuns(hold: WorkerPoll): Promise<WorkerRunList> {
    const {waitMillis = 0, leaseEnd} = hold;
    const body = {
      FencingToken: hold.fencingToken,
      LastSeen: hold.acknowledgedEnd,
      ...(leaseEnd === undefined ? {} : {ExpiresMs: Math.floor(leaseEnd)}),
      ...(waitMillis > 0 ? {WaitMs: Math.floor(waitMillis)} : {}),
    };
    const timeout = waitMillis + HOLD_GRACE_MILLIS;
    const response = await this.call('/-/hold', body, timeout);
    expectOk(response);
    const parsed = safeParse(holdResponseSchema, decode<unknown>(response));
    if (!parsed.success)
      throw new WorkerUnavailableError("The worker's run list is unreadable.");
    const {ClockMs, born, Running, Ended} = parsed.output;
    return {
      workerClock: ClockMs,
      workerStartedAt: born,
      running: Running.flatMap(toRun),
      ends: Ended.flatMap(toRunEnd),
    };
  }

  close(reason: string): void {
    this.connections.close(reason);
  }

  private async call(
    path: string,
    body: object,
    timeoutMillis = CALL_TIMEOUT_MILLIS,
  ): Promise<HttpResponse> {
    try {
      return await this.connections.call({
        method: 'POST',
        path,
        headers: [
          ['content-type', 'application/json'],
          ['x-target-instance', this.options.id],
        ],
        body: JSON.stringify(body),
        timeoutMillis,
      });
    } catch (error) {
      throw new WorkerUnavailableError(messageOf(error), {cause: error});
    }
  }
}

function toWireStop(stop: WorkerStop): object {
  return {Task: stop.task, Run: stop.run, FencingToken: stop.fencingToken};
}

/**
 * 4xx, such as 400 and 429, and 503 mean that nothing was done; after other
 * errors the outcome is unknown.
 */
function refusalForStatus(response: HttpResponse): StartRefusal {
  const {status} = response;
  if (status < 500 || status === 503) return StartRefusal.REJECTED;
  throw new WorkerUnavailableError(
    `The worker responded with status ${status}.`,
  );
}

function expectOk(response: HttpResponse): void {
  const {status} = response;
  if (status >= 200 && status < 300) return;
  const reason =
    status === REPLACED_STATUS
      ? 'another incarnation responded'
      : `the worker responded with status ${status}`;
  throw new WorkerRefusedError(reason);
}

function decode<Body>({body}: HttpResponse): Body {
  return parseResponseBody<Body>(
    body,
    cause =>
      new WorkerUnavailableError("The worker's response is not JSON.", {cause}),
  );
}

/** Leaves out a row that names no run. */
function toRun(row: unknown): WorkerRun[] {
  if (!Array.isArray(row)) return [];
  const [task, run, checkpoint, percent, measure] = row as unknown[];
  if (!is(nameSchema, task) || !is(countSchema, run)) return [];
  return [
    {
      task,
      run,
      checkpoint: typeof checkpoint === 'string' ? checkpoint : '',
      percent: is(amountSchema, percent) ? Math.min(percent, ALL_PERCENT) : 0,
      measure: is(amountSchema, measure) ? measure : 0,
    },
  ];
}

/** Leaves out a row that names no end. */
function toRunEnd(row: unknown): WorkerRunEnd[] {
  if (!Array.isArray(row)) return [];
  const [number, task, run, outcome, checkpoint] = row as unknown[];
  if (!is(endNumberSchema, number) || !is(nameSchema, task)) return [];
  if (!is(countSchema, run) || !OUTCOMES.has(String(outcome))) return [];
  return [
    {
      number,
      task,
      run,
      outcome: outcome as RunOutcome,
      checkpoint: typeof checkpoint === 'string' ? checkpoint : '',
    },
  ];
}
