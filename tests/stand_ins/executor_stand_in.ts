import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {SystemClock} from '../../src/utilities/clock.js';
import type {Clock} from '../../src/utilities/clock.js';
import {Random} from '../../src/utilities/random.js';
import {
  HttpListener,
  interceptCall,
  parseJson,
  replyJson,
} from './http_listener.js';
import {InterferenceModel} from './interference.js';

const DEFAULT_SLOTS = 8;
const DEFAULT_CONNECTIONS = 64;
const DEFAULT_RUN_MILLIS = 5;
const REQUEST_ID_HEADER = 'x-request-id';
const RUN_MILLIS_PARAMETER = 'runMillis';

export interface ExecutorFaults {
  /** Connections are cut. */
  down: boolean;
  /** Requests take this many times longer. */
  slowdown: number;
  /** Share of requests that run and are never answered. */
  silentShare: number;
  /** Share of answers that are cut in the middle of the body. */
  cutShare: number;
  /** Share of answers that carry another request's id. */
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
  /** Kinds of the tasks that run on its VM. */
  readonly tasksBeside?: () => Iterable<string>;
  readonly onRun?: (run: ExecutorRun) => void;
}

interface WaitingRequest {
  readonly request: IncomingMessage;
  readonly body: Buffer;
  readonly response: ServerResponse;
}

/**
 * An executor for tests: runs as many requests at a time as it has slots and
 * echoes them. The request's path may say how long it runs (`?runMillis=`).
 */
export class ExecutorStandIn {
  readonly faults: ExecutorFaults = {
    down: false,
    slowdown: 1,
    silentShare: 0,
    cutShare: 0,
    crossedShare: 0,
  };
  readonly runs: ExecutorRun[] = [];
  /** Requests that arrived, those on silent connections included. */
  received = 0;
  private readonly clock: Clock;
  private readonly random: Random;
  private readonly interference: InterferenceModel;
  private readonly slots: number;
  private readonly listener: HttpListener;
  private readonly waiting: WaitingRequest[] = [];
  private silentSockets = new WeakSet<Socket>();
  private running = 0;

  constructor(private readonly options: ExecutorStandInOptions) {
    this.clock = options.clock ?? new SystemClock();
    this.random = new Random(options.seed ?? 1);
    this.interference = options.interference ?? new InterferenceModel();
    this.slots = options.slots ?? DEFAULT_SLOTS;
    this.listener = new HttpListener({
      handle: (request, body, response) => this.handle(request, body, response),
      maximumConnections: options.connections ?? DEFAULT_CONNECTIONS,
    });
  }

  listen(address?: string): Promise<string> {
    return this.listener.listen(address);
  }

  connectionCount(): number {
    return this.listener.sockets.size;
  }

  setFaults(faults: Partial<ExecutorFaults>, caller?: Socket): void {
    Object.assign(this.faults, faults);
    if (this.faults.down) this.listener.destroyConnections({except: caller});
  }

  /** Connections open now carry nothing any more, and are not closed. */
  silenceConnections(): void {
    for (const socket of this.listener.sockets) {
      this.silentSockets.add(socket);
    }
  }

  close(): Promise<void> {
    return this.listener.close();
  }

  private handle(
    request: IncomingMessage,
    body: Buffer,
    response: ServerResponse,
  ): void {
    const path = request.url ?? '';
    const control = () => this.control(path, body, response);
    if (interceptCall(request, {down: this.faults.down, control})) return;
    this.received++;
    if (this.silentSockets.has(request.socket)) return;
    if (path === '/health') {
      this.reply(requestIdOf(request), request, Buffer.alloc(0), response);
      return;
    }
    this.waiting.push({request, body, response});
    this.runWaiting();
  }

  private control(path: string, body: Buffer, response: ServerResponse): void {
    if (path === '/control/faults') {
      this.setFaults(parseJson(body), response.socket ?? undefined);
    }
    if (path === '/control/runs') return replyJson(response, 200, this.runs);
    replyJson(response, 200, {faults: this.faults, runs: this.runs.length});
    if (path === '/control/silence-connections') {
      response.once('finish', () => this.silenceConnections());
    }
  }

  private runWaiting(): void {
    while (this.running < this.slots) {
      const next = this.waiting.shift();
      if (!next) return;
      this.run(next);
    }
  }

  private run({request, body, response}: WaitingRequest): void {
    const requestId = requestIdOf(request);
    this.running++;
    this.record(requestId, request.method ?? '');
    this.clock.schedule(this.runMillis(request.url ?? ''), () => {
      this.running--;
      this.answer(requestId, request, body, response);
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
    const parameters = new URL(path, 'http://executor').searchParams;
    const given = parameters.get(RUN_MILLIS_PARAMETER);
    const base = given === null ? DEFAULT_RUN_MILLIS : Number(given);
    const beside = this.options.tasksBeside?.() ?? [];
    const service = this.options.service ?? '';
    const interfered = this.interference.slowdownOf(service, beside);
    return base * this.faults.slowdown * interfered;
  }

  private answer(
    requestId: string,
    request: IncomingMessage,
    body: Buffer,
    response: ServerResponse,
  ): void {
    const {silentShare, cutShare, crossedShare} = this.faults;
    if (this.silentSockets.has(request.socket)) return;
    if (this.random.unit() < silentShare) return;
    if (this.random.unit() < cutShare) {
      response.writeHead(200, {
        [REQUEST_ID_HEADER]: requestId,
        'content-length': body.length + 100,
      });
      response.write('cut');
      response.socket?.end();
      return;
    }
    const crossed = this.random.unit() < crossedShare;
    const answered = crossed ? `other-than-${requestId}` : requestId;
    this.reply(answered, request, body, response);
  }

  private reply(
    requestId: string,
    request: IncomingMessage,
    body: Buffer,
    response: ServerResponse,
  ): void {
    const text = JSON.stringify({
      requestId,
      executor: this.options.id,
      method: request.method,
      path: request.url,
      echo: body.toString(),
    });
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      [REQUEST_ID_HEADER]: requestId,
    });
    response.end(text);
  }
}

function requestIdOf(request: IncomingMessage): string {
  return String(request.headers[REQUEST_ID_HEADER] ?? '');
}
