import type {Socket} from 'node:net';
import {WorkerRefusedError} from '../../src/backends/platform_errors.js';
import type {WorkerTaskStart} from '../../src/backends/worker.js';
import {messageOf} from '../../src/utilities/base_error.js';
import type {Clock} from '../../src/utilities/clock.js';
import type {Resources} from '../../src/utilities/resources.js';
import {parseJson, replyJson} from './http_listener.js';
import {HttpStandIn} from './http_stand_in.js';
import type {StandInCall} from './http_stand_in.js';
import type {InterferenceModel} from './interference.js';
import {WorkerMachine} from './worker_machine.js';
import type {WorkerRecord} from './worker_records.js';

export interface WorkerFaults {
  /** All connections are closed. */
  down: boolean;
  /** Delay of every response. */
  delayMillis: number;
  /** Number of next calls, status calls excluded, that get no response. */
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

/** A worker for tests over HTTP; its own clock shows the wall-clock time. */
export class WorkerStandIn extends HttpStandIn<WorkerFaults> {
  readonly machine: WorkerMachine;

  constructor(options: WorkerStandInOptions) {
    const responseFaults = {delayMillis: 0, loseReplies: 0};
    super({down: false, failsEverything: false, ...responseFaults}, options);
    const {clock} = this;
    const clockOffsetMillis = clock.wallTime() - clock.now();
    this.machine = new WorkerMachine({...options, clock, clockOffsetMillis});
  }

  override setFaults(faults: Partial<WorkerFaults>, caller?: Socket): void {
    super.setFaults(faults, caller);
    this.machine.failsEverything = this.faults.failsEverything;
  }

  override async close(): Promise<void> {
    this.machine.close();
    await super.close();
  }

  protected handle(call: StandInCall): void {
    const {delayMillis} = this.faults;
    this.afterDelay(delayMillis, () => void this.respond(call));
  }

  protected control({path}: StandInCall): object {
    if (path === '/control/records') return this.machine.records;
    const runningKinds = this.machine.runningKinds();
    return {faults: this.faults, runningKinds};
  }

  private async respond({path, body, response}: StandInCall): Promise<void> {
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
