import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {SystemClock} from '../../src/utilities/clock.js';
import type {Clock} from '../../src/utilities/clock.js';
import {HttpListener, parseJson, replyJson} from './http_listener.js';

const CONTROL_PREFIX = '/control/';

/** An HTTP request to a stand-in, with its whole body. */
export interface StandInCall {
  readonly path: string;
  readonly body: Buffer;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** A platform component for tests, with faults that can be set over HTTP. */
export abstract class HttpStandIn<
  Faults extends {
    /** All connections are closed. */
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
        this.dispatch({path: request.url ?? '', body, request, response}),
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

  /** Handles a control request and returns the body of its response. */
  protected abstract control(call: StandInCall): object;

  /** Responds immediately or after the delay. */
  protected afterDelay(delayMillis: number, respond: () => void): void {
    if (delayMillis === 0) respond();
    else this.clock.schedule(delayMillis, respond);
  }

  private dispatch(call: StandInCall): void {
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
