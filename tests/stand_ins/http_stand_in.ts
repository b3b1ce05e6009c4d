import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {SystemClock} from '../../src/utilities/clock.js';
import type {Clock} from '../../src/utilities/clock.js';
import {HttpListener, parseJson, replyJson} from './http_listener.js';

const CONTROL_PREFIX = '/control/';

/** One call of a stand-in. */
export interface StandInCall {
  readonly path: string;
  readonly body: Buffer;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** A part of the platform for tests, with faults that tests set over HTTP. */
export abstract class HttpStandIn<
  Faults extends {
    /** Connections are cut. */
    down: boolean;
  },
> {
  protected readonly clock: Clock;
  protected readonly listener: HttpListener;

  constructor(
    readonly faults: Faults,
    options: {readonly clock?: Clock; readonly connections?: number},
  ) {
    this.clock = options.clock ?? new SystemClock();
    this.listener = new HttpListener({
      handle: (request, body, response) =>
        this.take({path: request.url ?? '', body, request, response}),
      maximumConnections: options.connections,
    });
  }

  listen(address?: string): Promise<string> {
    return this.listener.listen(address);
  }

  setFaults(faults: Partial<Faults>, caller?: Socket): void {
    Object.assign(this.faults, faults);
    if (this.faults.down) this.listener.destroyConnections({except: caller});
  }

  async close(): Promise<void> {
    await this.listener.close();
  }

  protected abstract handle(call: StandInCall): void;

  /** Does what tests ask for and returns what to tell them. */
  protected abstract control(call: StandInCall): object;

  /** Answers now, or as late as the faults say. */
  protected afterDelay(delayMillis: number, answer: () => void): void {
    if (delayMillis === 0) answer();
    else this.clock.schedule(delayMillis, answer);
  }

  private take(call: StandInCall): void {
    const {path, body, response} = call;
    if (path.startsWith(CONTROL_PREFIX)) {
      const caller = response.socket ?? undefined;
      if (path === '/control/faults') this.setFaults(parseJson(body), caller);
      replyJson(response, 200, this.control(call));
    } else if (this.faults.down) {
      call.request.socket.destroy();
    } else {
      this.handle(call);
    }
  }
}
