import {messageOf} from '../utilities/base_error.js';
import type {Clock} from '../utilities/clock.js';
import {HttpCallError, HttpConnections} from './http_connections.js';
import type {HttpStreamListener} from './http_connections.js';
import type {HttpResponse} from './http_exchange.js';
import {StoreUnavailableError} from './platform_errors.js';
import {readStoreReply} from './store_replies.js';

const JSON_HEADERS = [['content-type', 'application/json']] as const;
const STATUS_OK = 200;
const WATCH_CONNECTIONS = 256;
const LEASE_PATHS = '/v3/lease/';
const LEASE_NOT_FOUND = /requested lease not found/;

export interface StoreEndpointsOptions {
  readonly addresses: readonly string[];
  readonly clock: Clock;
  readonly timeoutMillis: number;
  readonly connections?: number;
}

interface Endpoint {
  readonly address: string;
  readonly calls: HttpConnections;
  readonly streams: HttpConnections;
}

/** The store's endpoints. Calls go first to the last one that responded. */
export class StoreEndpoints {
  private readonly endpoints: readonly Endpoint[];
  private preferredIndex = 0;

  constructor(private readonly options: StoreEndpointsOptions) {
    const {clock, connections} = options;
    this.endpoints = options.addresses.map(address => ({
      address,
      calls: new HttpConnections({address, clock, connections}),
      streams: new HttpConnections({
        address,
        clock,
        connections: WATCH_CONNECTIONS,
      }),
    }));
  }

  /** Tries each endpoint in turn until one responds. */
  read<Reply>(path: string, request: object): Promise<Reply> {
    return this.call<Reply>(path, request, () => true);
  }

  /** Tries the next endpoint only if no byte of the write was sent. */
  write<Reply>(path: string, request: object): Promise<Reply> {
    return this.call<Reply>(path, request, isUnsent);
  }

  /** Opens a stream to the preferred endpoint. */
  stream(
    path: string,
    request: object,
    listener: HttpStreamListener,
  ): (reason: string) => void {
    const index = this.preferredIndex;
    const call = {
      method: 'POST',
      path,
      headers: JSON_HEADERS,
      body: JSON.stringify(request),
      timeoutMillis: Infinity,
    };
    let hasReceivedData = false;
    return this.endpoints[index].streams.stream(call, {
      onData: chunk => {
        hasReceivedData = true;
        listener.onData(chunk);
      },
      onEnd: reason => {
        if (!hasReceivedData) this.preferNext(index);
        listener.onEnd(`${this.endpoints[index].address}${path}: ${reason}`);
      },
    });
  }

  close(reason: string): void {
    for (const endpoint of this.endpoints) {
      endpoint.calls.close(reason);
      endpoint.streams.close(reason);
    }
  }

  private async call<Reply>(
    path: string,
    request: object,
    canTryNext: (thrown: unknown) => boolean,
  ): Promise<Reply> {
    const failures: string[] = [];
    const first = this.preferredIndex;
    for (let offset = 0; offset < this.endpoints.length; offset++) {
      const index = (first + offset) % this.endpoints.length;
      try {
        const response = await this.callOne(index, path, request);
        this.preferredIndex = index;
        return readReply<Reply>(path, response);
      } catch (thrown) {
        failures.push(messageOf(thrown));
        this.preferNext(index);
        if (!canTryNext(thrown)) break;
      }
    }
    throw new StoreUnavailableError(
      `the store did not respond; endpoints tried in order: ${failures.join('; ')}`,
    );
  }

  private callOne(
    index: number,
    path: string,
    request: object,
  ): Promise<HttpResponse> {
    return this.endpoints[index].calls.call({
      method: 'POST',
      path,
      headers: JSON_HEADERS,
      body: JSON.stringify(request),
      timeoutMillis: this.options.timeoutMillis,
    });
  }

  private preferNext(index: number): void {
    if (this.preferredIndex !== index) return;
    this.preferredIndex = (index + 1) % this.endpoints.length;
  }
}

function isUnsent(thrown: unknown): boolean {
  return thrown instanceof HttpCallError && !thrown.sent;
}

function readReply<Reply>(path: string, response: HttpResponse): Reply {
  const text = response.body.toString();
  if (response.status === STATUS_OK) return readStoreReply(path, text) as Reply;
  const isExpired = path.startsWith(LEASE_PATHS) && LEASE_NOT_FOUND.test(text);
  if (isExpired) return {} as Reply;
  throw new StoreUnavailableError(`${path}: ${response.status} ${text.trim()}`);
}
