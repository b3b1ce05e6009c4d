import type {Dispatcher} from 'undici';
import Pool from 'undici/lib/dispatcher/pool.js';
import {BaseError, messageOf} from '../utilities/base_error.js';
import {SystemClock} from '../utilities/clock.js';
import type {Clock} from '../utilities/clock.js';
import {HttpExchange} from './http_exchange.js';
import type {HttpResponse} from './http_exchange.js';

const DEFAULT_CONNECTIONS = 16;
const DEFAULT_SILENCE_MILLIS = 1_000;
const DEFAULT_CONNECT_TIMEOUT_MILLIS = 1_000;
const DEFAULT_IDLE_MILLIS = 4_000;
/** Message of the error with which undici closes an idle connection. */
const IDLE_TIMEOUT_MESSAGE = 'socket idle timeout';
const DEFAULT_MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024;

export interface HttpCall {
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyArray<readonly [name: string, value: string]>;
  readonly body: Uint8Array | string;
  readonly timeoutMillis: number;
  /**
   * Returns why a response with these headers can't belong to this call, or
   * undefined if it can.
   */
  readonly describeMismatch?: (
    headers: HttpResponse['headers'],
  ) => string | undefined;
}

export interface HttpConnectionsOptions {
  /** HOST:PORT, or an origin such as https://HOST:PORT */
  readonly address: string;
  readonly clock?: Clock;
  readonly connections?: number;
  /** Later calls use new connections if no response starts for this long. */
  readonly silenceMillis?: number;
  readonly connectTimeoutMillis?: number;
  /** A connection without calls for this long is closed. */
  readonly idleMillis?: number;
  readonly maximumResponseBytes?: number;
}

export interface HttpStreamListener {
  onData(chunk: Buffer): void;
  onEnd(reason: string): void;
}

/**
 * A call without a complete response. `sent` is false only if no byte of the
 * call was sent.
 */
export const HttpCallError = BaseError.subclass('HttpCallError', {
  props: {sent: true},
});

/**
 * A bounded pool of HTTP/1.1 connections to one address. Each connection
 * carries one call at a time and is destroyed if the call times out or gets the
 * response to another call. A call is sent at most once.
 */
export class HttpConnections {
  private readonly clock: Clock;
  private readonly silenceMillis: number;
  private pool: Pool;
  private disconnects = 0;
  private closedReason?: string;

  constructor(private readonly options: HttpConnectionsOptions) {
    this.clock = options.clock ?? new SystemClock();
    this.silenceMillis = options.silenceMillis ?? DEFAULT_SILENCE_MILLIS;
    this.pool = this.openPool();
  }

  /** Number of connections that have ended, but for idle ones closed here. */
  get endedConnections(): number {
    return this.disconnects;
  }

  /** Resolves to the complete response or rejects with an HttpCallError. */
  call(call: HttpCall): Promise<HttpResponse> {
    const pool = this.pool;
    return new Promise((resolve, reject) => {
      const exchange = new HttpExchange({
        maximumResponseBytes:
          this.options.maximumResponseBytes ?? DEFAULT_MAXIMUM_RESPONSE_BYTES,
        describeMismatch: call.describeMismatch,
        onEnd: result => {
          silenceTimer.cancel();
          timeoutTimer.cancel();
          if (result.response) return resolve(result.response);
          const message = `${call.method} ${this.options.address}${call.path}: ${result.reason}`;
          reject(
            new HttpCallError(message, {props: {sent: exchange.mayHaveSent}}),
          );
        },
      });
      const silenceTimer = this.clock.schedule(this.silenceMillis, () => {
        if (exchange.mayHaveSent && !exchange.hasResponseStarted)
          this.replace(pool);
      });
      const timeoutTimer = this.clock.schedule(call.timeoutMillis, () => {
        if (exchange.mayHaveSent && !exchange.hasResponseStarted)
          this.replace(pool);
        exchange.abort(`no complete response within ${call.timeoutMillis} ms`);
      });
      this.dispatch(pool, call, exchange);
    });
  }

  /**
   * Sends a call with a streaming response. Returns a function that ends the
   * stream.
   */
  stream(
    call: HttpCall,
    listener: HttpStreamListener,
  ): (reason: string) => void {
    const exchange = new HttpExchange({
      maximumResponseBytes: Infinity,
      onData: chunk => listener.onData(chunk),
      onEnd: result => listener.onEnd(result.reason),
    });
    this.dispatch(this.pool, call, exchange);
    return reason => exchange.abort(reason);
  }

  /** Later calls use new connections; calls in flight may still complete. */
  replaceConnections(): void {
    this.replace(this.pool);
  }

  /** Destroys all connections; calls in flight reject. */
  close(reason: string): void {
    if (this.closedReason) return;
    this.closedReason = reason;
    void this.pool.destroy(new HttpCallError(reason)).catch(() => {});
  }

  private replace(pool: Pool): void {
    if (pool !== this.pool || this.closedReason) return;
    this.pool = this.openPool();
    void pool.close().catch(() => {});
  }

  private openPool(): Pool {
    const pool = new Pool(toOrigin(this.options.address), {
      connections: this.options.connections ?? DEFAULT_CONNECTIONS,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: this.options.idleMillis ?? DEFAULT_IDLE_MILLIS,
      connect: {
        timeout:
          this.options.connectTimeoutMillis ?? DEFAULT_CONNECT_TIMEOUT_MILLIS,
      },
    });
    return pool.on('disconnect', (_origin, _targets, error) => {
      if (error?.message !== IDLE_TIMEOUT_MESSAGE) this.disconnects++;
    });
  }

  private dispatch(pool: Pool, call: HttpCall, exchange: HttpExchange): void {
    if (this.closedReason) {
      exchange.abort(this.closedReason);
      return;
    }
    try {
      pool.dispatch(
        {
          method: call.method as Dispatcher.HttpMethod,
          path: call.path,
          headers: call.headers.flat(),
          body: call.body.length === 0 ? null : call.body,
        },
        exchange,
      );
    } catch (thrown) {
      exchange.abort(messageOf(thrown));
    }
  }
}

function toOrigin(address: string): string {
  return address.includes('://') ? address : `http://${address}`;
}
