import {messageOf} from '../utilities/base_error.js';
import type {Clock} from '../utilities/clock.js';
import {HttpCallError, HttpConnections} from './http_connections.js';
import type {HttpStreamListener} from './http_connections.js';
import type {HttpAnswer} from './http_exchange.js';
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

/** The store's addresses; calls go to the last that answered, then the rest. */
export class StoreEndpoints {
  private readonly endpoints: readonly Endpoint[];
  private preferred = 0;

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

  /** Tries each endpoint in turn until one answers. */
  read<Reply>(path: string, request: object): Promise<Reply> {
    return this.call<Reply>(path, request, () => true);
  }

  /** Goes on to the next endpoint only if no byte of the write left. */
  write<Reply>(path: string, request: object): Promise<Reply> {
    return this.call<Reply>(path, request, isUnsent);
  }

  /** Opens a stream to the endpoint that answered last. */
  stream(
    path: string,
    request: object,
    listener: HttpStreamListener,
  ): (reason: string) => void {
    const index = this.preferred;
    const call = {
      method: 'POST',
      path,
      headers: JSON_HEADERS,
      body: JSON.stringify(request),
      timeoutMillis: Infinity,
    };
    let heard = false;
    return this.endpoints[index].streams.stream(call, {
      onData: chunk => {
        heard = true;
        listener.onData(chunk);
      },
      onEnd: reason => {
        if (!heard) this.passOver(index);
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
    mayGoOn: (thrown: unknown) => boolean,
  ): Promise<Reply> {
    const tried: string[] = [];
    const first = this.preferred;
    for (let offset = 0; offset < this.endpoints.length; offset++) {
      const index = (first + offset) % this.endpoints.length;
      try {
        const answer = await this.callOne(index, path, request);
        this.preferred = index;
        return readReply<Reply>(path, answer);
      } catch (thrown) {
        tried.push(messageOf(thrown));
        this.passOver(index);
        if (!mayGoOn(thrown)) break;
      }
    }
    throw new StoreUnavailableError(
      `The store did not answer; tried in order: ${tried.join('; ')}`,
    );
  }

  private callOne(
    index: number,
    path: string,
    request: object,
  ): Promise<HttpAnswer> {
    return this.endpoints[index].calls.call({
      method: 'POST',
      path,
      headers: JSON_HEADERS,
      body: JSON.stringify(request),
      timeoutMillis: this.options.timeoutMillis,
    });
  }

  private passOver(index: number): void {
    if (this.preferred !== index) return;
    this.preferred = (index + 1) % this.endpoints.length;
  }
}

function isUnsent(thrown: unknown): boolean {
  return thrown instanceof HttpCallError && !thrown.sent;
}

function readReply<Reply>(path: string, answer: HttpAnswer): Reply {
  const text = answer.body.toString();
  if (answer.status === STATUS_OK) return readStoreReply(path, text) as Reply;
  const lapsed = path.startsWith(LEASE_PATHS) && LEASE_NOT_FOUND.test(text);
  if (lapsed) return {} as Reply;
  throw new StoreUnavailableError(`${path}: ${answer.status} ${text.trim()}`);
}
