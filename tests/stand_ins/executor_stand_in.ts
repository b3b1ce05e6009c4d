import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '../../src/utilities/clock.js';
import {Random} from '../../src/utilities/random.js';
import {replyJson} from './http_listener.js';
import {HttpStandIn} from './http_stand_in.js';
import type {StandInCall} from './http_stand_in.js';
import {InterferenceModel} from './interference.js';

const DEFAULT_SLOTS = 8;
const DEFAULT_CONNECTIONS = 64;
const DEFAULT_RUN_MILLIS = 5;
const REQUEST_ID_HEADER = 'x-request-id';
const START_BY_HEADER = 'x-start-by-milliseconds';
const NOT_RUN_HEADER = 'x-not-run';
const RUN_MILLIS_PARAMETER = 'runMillis';

export interface ExecutorFaults {
  /** All connections are closed. */
  down: boolean;
  /** Factor by which requests take longer. */
  slowdown: number;
  /** Share of requests that run but get no response. */
  silentShare: number;
  /** Share of responses that are truncated in the body. */
  cutShare: number;
  /** Share of responses that carry another request's id. */
  crossedShare: number;
}

export interface ExecutorRun {
  readonly order: number;
  readonly time: number;
  readonly executor: string;
  readonly requestId: string;
  readonly method: string;
}

export interface ExecutorStandInOptions {
  readonly id: string;
  readonly service?: string;
  readonly clock?: Clock;
  readonly slots?: number;
  readonly connections?: number;
  readonly seed?: number;
  readonly interference?: InterferenceModel;
  /** Returns the kinds of the tasks that run on the same VM. */
  readonly coLocatedTaskKinds?: () => Iterable<string>;
  readonly onRun?: (run: ExecutorRun) => void;
}

/**
 * An executor for tests that echoes requests and runs as many concurrently as it
 * has slots. The `runMillis` query parameter sets the run time of a request.
 */
export class ExecutorStandIn extends HttpStandIn<ExecutorFaults> {
  readonly runs: ExecutorRun[] = [];
  /** Number of requests received, including those on silenced connections. */
  received = 0;
  private readonly random: Random;
  private readonly interference: InterferenceModel;
  private readonly slots: number;
  private readonly waiting: StandInCall[] = [];
  private silencedSockets = new WeakSet<Socket>();
  private running = 0;

  constructor(private readonly options: ExecutorStandInOptions) {
    const shares = {silentShare: 0, cutShare: 0, crossedShare: 0};
    const {connections = DEFAULT_CONNECTIONS} = options;
    super({down: false, slowdown: 1, ...shares}, {...options, connections});
    this.random = new Random(options.seed ?? 1);
    this.interference = options.interference ?? new InterferenceModel();
    this.slots = options.slots ?? DEFAULT_SLOTS;
  }

  connectionCount(): number {
    return this.listener.sockets.size;
  }

  /** Stops responses on the open connections without closing them. */
  silenceConnections(): void {
    for (const socket of this.listener.sockets) {
      this.silencedSockets.add(socket);
    }
  }

  protected handle(call: StandInCall): void {
    this.received++;
    if (this.silencedSockets.has(call.request.socket)) return;
    if (call.path === '/health') {
      this.reply(requestIdOf(call.request), call);
      return;
    }
    if (this.isPastStartBy(call)) {
      this.refuseLate(call);
      return;
    }
    this.waiting.push(call);
    this.runWaiting();
  }

  /** True if the request arrived late, e.g. because its agent was suspended. */
  private isPastStartBy({request}: StandInCall): boolean {
    const startBy = Number(request.headers[START_BY_HEADER] ?? Infinity);
    return this.clock.wallTime() > startBy;
  }

  private refuseLate({request, response}: StandInCall): void {
    const headers = {
      [REQUEST_ID_HEADER]: requestIdOf(request),
      [NOT_RUN_HEADER]: 'late',
    };
    replyJson(response, 503, {}, headers);
  }

  protected control({path, response}: StandInCall): object {
    if (path === '/control/runs') return this.runs;
    if (path === '/control/silence-connections') {
      response.once('finish', () => this.silenceConnections());
    }
    return {faults: this.faults, runs: this.runs.length};
  }

  private runWaiting(): void {
    while (this.running < this.slots) {
      const next = this.waiting.shift();
      if (!next) return;
      this.run(next);
    }
  }

  private run(call: StandInCall): void {
    const requestId = requestIdOf(call.request);
    this.running++;
    this.record(requestId, call.request.method ?? '');
    this.clock.schedule(this.runMillis(call.path), () => {
      this.running--;
      this.respond(requestId, call);
      this.runWaiting();
    });
  }

  private record(requestId: string, method: string): void {
    const run: ExecutorRun = {
      order: this.runs.length,
      time: this.clock.wallTime(),
      executor: this.options.id,
      requestId,
      method,
    };
    this.runs.push(run);
    this.options.onRun?.(run);
  }

  private runMillis(path: string): number {
    const parameters = new URLSearchParams(path.split('?')[1]);
    const runMillisText = parameters.get(RUN_MILLIS_PARAMETER);
    const base =
      runMillisText === null ? DEFAULT_RUN_MILLIS : Number(runMillisText);
    const beside = this.options.coLocatedTaskKinds?.() ?? [];
    const service = this.options.service ?? '';
    const interferenceSlowdown = this.interference.slowdownOf(service, beside);
    return base * this.faults.slowdown * interferenceSlowdown;
  }

  private respond(requestId: string, call: StandInCall): void {
    const {silentShare, cutShare, crossedShare} = this.faults;
    if (this.silencedSockets.has(call.request.socket)) return;
    if (this.random.unit() < silentShare) return;
    if (this.random.unit() < cutShare) {
      const {response, body} = call;
      response.writeHead(200, {
        [REQUEST_ID_HEADER]: requestId,
        'content-length': body.length + 100,
      });
      response.write('cut');
      response.socket?.end();
      return;
    }
    const crossed = this.random.unit() < crossedShare;
    this.reply(crossed ? `other-than-${requestId}` : requestId, call);
  }

  private reply(requestId: string, call: StandInCall): void {
    const {path, body, request, response} = call;
    const {id: executor} = this.options;
    const echo = {method: request.method, path, echo: body.toString()};
    const headers = {[REQUEST_ID_HEADER]: requestId};
    replyJson(response, 200, {requestId, executor, ...echo}, headers);
  }
}

function requestIdOf(request: IncomingMessage): string {
  return String(request.headers[REQUEST_ID_HEADER] ?? '');
}
