import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {WorkerRefusedError} from '../../src/platform/platform_errors.js';
import type {WorkerTaskStart} from '../../src/platform/worker.js';
import {messageOf} from '../../src/utilities/base_error.js';
import {SystemClock} from '../../src/utilities/clock.js';
import type {Clock} from '../../src/utilities/clock.js';
import type {Resources} from '../../src/utilities/resources.js';
import {
  HttpListener,
  interceptCall,
  parseJson,
  replyJson,
} from './http_listener.js';
import type {InterferenceModel} from './interference.js';
import {WorkerMachine} from './worker_machine.js';
import type {WorkerRecord} from './worker_records.js';

export interface WorkerFaults {
  /** Connections are cut. */
  down: boolean;
  /** Every answer is late by this much. */
  delayMillis: number;
  /** So many next calls that change something are not answered. */
  loseReplies: number;
  failsEverything: boolean;
}

export interface WorkerStandInOptions {
  readonly id: string;
  readonly capacity: Resources;
  readonly clock?: Clock;
  readonly usageLagMillis?: number;
  readonly interference?: InterferenceModel;
  readonly onRecord?: (record: WorkerRecord) => void;
}

interface TaskCall extends WorkerTaskStart {
  readonly ids: readonly string[];
  readonly share: number;
}

/** Serves a WorkerMachine to an agent; its clock is that of the calendar. */
export class WorkerStandIn {
  readonly machine: WorkerMachine;
  readonly faults: WorkerFaults = {
    down: false,
    delayMillis: 0,
    loseReplies: 0,
    failsEverything: false,
  };
  private readonly clock: Clock;
  private readonly listener: HttpListener;

  constructor(options: WorkerStandInOptions) {
    this.clock = options.clock ?? new SystemClock();
    const clockOffsetMillis = this.clock.wallTime() - this.clock.now();
    this.machine = new WorkerMachine({
      ...options,
      clock: this.clock,
      clockOffsetMillis,
    });
    this.listener = new HttpListener({
      handle: (request, body, response) => this.handle(request, body, response),
    });
  }

  listen(address?: string): Promise<string> {
    return this.listener.listen(address);
  }

  setFaults(faults: Partial<WorkerFaults>, caller?: Socket): void {
    Object.assign(this.faults, faults);
    this.machine.failsEverything = this.faults.failsEverything;
    if (this.faults.down) this.listener.destroyConnections({except: caller});
  }

  async close(): Promise<void> {
    this.machine.close();
    await this.listener.close();
  }

  private handle(
    request: IncomingMessage,
    body: Buffer,
    response: ServerResponse,
  ): void {
    const path = request.url ?? '';
    const control = () => this.control(path, body, response);
    if (interceptCall(request, {down: this.faults.down, control})) return;
    const answer = () => void this.answer(path, body, response);
    if (this.faults.delayMillis === 0) return answer();
    this.clock.schedule(this.faults.delayMillis, answer);
  }

  private control(path: string, body: Buffer, response: ServerResponse): void {
    if (path === '/control/faults') {
      this.setFaults(parseJson(body), response.socket ?? undefined);
    }
    if (path === '/control/records') {
      return replyJson(response, 200, this.machine.records);
    }
    const runningKinds = this.machine.runningKinds();
    replyJson(response, 200, {faults: this.faults, runningKinds});
  }

  private async answer(
    path: string,
    body: Buffer,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const reply = await this.execute(path, body);
      if (path !== '/v1/status' && this.faults.loseReplies > 0) {
        this.faults.loseReplies--;
        return;
      }
      replyJson(response, 200, reply);
    } catch (thrown) {
      const status = thrown instanceof WorkerRefusedError ? 409 : 500;
      replyJson(response, status, {message: messageOf(thrown)});
    }
  }

  private async execute(path: string, body: Buffer): Promise<object> {
    const {machine} = this;
    const call = parseJson<TaskCall>(body);
    switch (path) {
      case '/v1/status':
        return machine.status();
      case '/v1/tasks/start':
        await machine.start(call);
        return {};
      case '/v1/tasks/renew':
        await machine.renew(call.ids, call.leaseExpiresAt);
        return {};
      case '/v1/tasks/checkpoint':
        return {checkpoint: await machine.checkpoint(call.id)};
      case '/v1/tasks/throttle':
        await machine.throttle(call.id, call.share);
        return {};
      case '/v1/tasks/stop':
        return machine.stop(call.id, {checkpoint: Boolean(call.checkpoint)});
      case '/v1/tasks/forget':
        await machine.forget(call.ids);
        return {};
      default:
        throw new WorkerRefusedError(`no call ${path}`);
    }
  }
}
