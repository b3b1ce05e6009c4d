import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {SwapResult} from '../../src/backends/store.js';
import {encodeText} from '../../src/backends/store_messages.js';
import {TokenBucket} from '../../src/backends/token_bucket.js';
import {messageOf} from '../../src/utilities/base_error.js';
import type {Clock} from '../../src/utilities/clock.js';
import {parseJson, replyJson} from './http_listener.js';
import {HttpStandIn} from './http_stand_in.js';
import type {StandInCall} from './http_stand_in.js';
import {StoreTable} from './store_table.js';
import type {TableEntry} from './store_table.js';
import {StoreWatchStream} from './store_watch_stream.js';

const MILLIS_PER_SECOND = 1_000;
const BURST_SHARE_OF_RATE = 0.5;

export interface StoreFaults {
  /** All connections are closed. */
  down: boolean;
  /** Delay of every response. */
  delayMillis: number;
  /** Calls over this rate are rejected with status 429; 0 means no limit. */
  callsPerSecond: number;
  /** Number of next writes that take effect without a response. */
  loseWriteReplies: number;
  /** Watches get no messages and are not ended. */
  watchesSilent: boolean;
}

export interface StoreStandInOptions {
  readonly clock?: Clock;
  readonly entries?: readonly TableEntry[];
  readonly journal?: (entry: TableEntry) => void;
}

interface RangeRequest {
  readonly key: string;
  readonly range_end?: string;
  readonly limit?: string;
  readonly sort_order?: string;
  readonly sort_target?: string;
}

interface TransactionRequest {
  readonly compare: ReadonlyArray<{readonly modRevision?: string}>;
  readonly success: ReadonlyArray<{
    readonly requestPut?: {key: string; value: string; lease?: string};
    readonly requestDeleteRange?: {key: string};
  }>;
  readonly failure: ReadonlyArray<{readonly requestRange: RangeRequest}>;
}

interface LeaseRequest {
  readonly ID?: string;
  readonly TTL?: string;
}

/** A platform store for tests: the used subset of etcd's JSON mapping. */
export class StoreStandIn extends HttpStandIn<StoreFaults> {
  readonly table: StoreTable;
  private readonly counts = new Map<string, number>();
  private readonly watches = new Set<StoreWatchStream>();
  private bucket?: TokenBucket;

  constructor(options: StoreStandInOptions = {}) {
    const responseFaults = {
      delayMillis: 0,
      callsPerSecond: 0,
      loseWriteReplies: 0,
    };
    super({down: false, watchesSilent: false, ...responseFaults}, options);
    this.table = new StoreTable(this.clock, options);
  }

  /** Returns the number of calls by path. */
  callCounts(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.counts);
  }

  override setFaults(faults: Partial<StoreFaults>, caller?: Socket): void {
    super.setFaults(faults, caller);
    const limited = this.faults.callsPerSecond > 0;
    this.bucket = limited ? this.openBucket() : undefined;
  }

  override async close(): Promise<void> {
    for (const watch of this.watches) watch.close();
    this.table.dispose();
    await super.close();
  }

  private openBucket(): TokenBucket {
    const rate = this.faults.callsPerSecond;
    const burst = rate * BURST_SHARE_OF_RATE;
    return new TokenBucket(rate, burst, this.clock.now());
  }

  protected handle(call: StandInCall): void {
    const {path, response} = call;
    this.counts.set(path, (this.counts.get(path) ?? 0) + 1);
    if (this.bucket && !this.bucket.tryTake(this.clock.now())) {
      return replyJson(response, 429, {message: 'too many requests'});
    }
    this.afterDelay(this.faults.delayMillis, () => this.respond(call));
  }

  protected control({path}: StandInCall): object {
    if (path === '/control/lapse-leases') this.table.expireAllLeases();
    if (path === '/control/compact') this.table.compact();
    return {faults: this.faults, counts: this.callCounts()};
  }

  private respond({path, body, response}: StandInCall): void {
    try {
      if (path === '/v3/watch') return this.watch(parseJson(body), response);
      const reply = this.execute(path, body);
      if (!reply) return replyJson(response, 404, {message: 'no such path'});
      if (this.shouldLoseReply(path)) return;
      replyJson(response, 200, reply);
    } catch (thrown) {
      const message = messageOf(thrown);
      replyJson(response, 404, {error: message, code: 5, message});
    }
  }

  private shouldLoseReply(path: string): boolean {
    if (this.faults.loseWriteReplies === 0 || path === '/v3/kv/range') {
      return false;
    }
    this.faults.loseWriteReplies--;
    return true;
  }

  private execute(path: string, body: Buffer): object | undefined {
    switch (path) {
      case '/v3/kv/range':
        return this.range(parseJson(body));
      case '/v3/kv/txn':
        return this.transact(parseJson(body));
      case '/v3/kv/put':
        return this.put(parseJson(body));
      case '/v3/kv/deleterange':
        return this.deleteRange(parseJson(body));
      case '/v3/lease/grant':
        return this.grant(parseJson(body));
      case '/v3/lease/keepalive':
        return this.keepAlive(parseJson(body));
      case '/v3/lease/revoke':
      case '/v3/kv/lease/revoke':
        return this.revoke(parseJson(body));
      default:
        return undefined;
    }
  }

  private range(request: RangeRequest): object {
    const {first, end} = readRange(request);
    const one = this.table.get(first);
    const single = one ? [one] : [];
    const all = request.range_end ? this.table.range(first, end) : single;
    if (isNewestFirst(request)) all.sort((a, b) => b.revision - a.revision);
    const limit = Number(request.limit ?? 0) || Infinity;
    const kvs = all.slice(0, limit).map(found => ({
      key: encodeText(found.key),
      value: encodeText(found.value),
      mod_revision: String(found.revision),
    }));
    const more = kvs.length < all.length;
    return {header: this.header(), kvs, more, count: String(all.length)};
  }

  private transact(request: TransactionRequest): object {
    const result = this.swapOrRemove(request);
    if (result.succeeded) {
      return {header: this.header(), succeeded: true, responses: [{}]};
    }
    const found = this.range(request.failure[0].requestRange);
    return {header: this.header(), responses: [{response_range: found}]};
  }

  private swapOrRemove(request: TransactionRequest): SwapResult {
    const expected = Number(request.compare[0].modRevision ?? 0);
    const {requestPut: put, requestDeleteRange: remove} = request.success[0];
    if (remove) return this.table.remove(decode(remove.key), expected);
    if (!put) throw new Error('the transaction has no write');
    const {key, value, lease} = put;
    return this.table.swap(decode(key), expected, decode(value), lease);
  }

  private put(request: {key: string; value: string; lease?: string}): object {
    const key = decode(request.key);
    const expected = this.table.get(key)?.revision ?? 0;
    this.table.swap(key, expected, decode(request.value), request.lease);
    return {header: this.header()};
  }

  private deleteRange(request: RangeRequest): object {
    const {first, end} = readRange(request);
    const bound = request.range_end ? end : `${first}\0`;
    const deleted = this.table.removeRange(first, bound);
    return {header: this.header(), deleted: String(deleted)};
  }

  private grant(request: LeaseRequest): object {
    const TTL = request.TTL ?? '0';
    const ID = this.table.grantLease(Number(TTL) * MILLIS_PER_SECOND);
    return {header: this.header(), ID, TTL};
  }

  private keepAlive(request: LeaseRequest): object {
    const ID = request.ID ?? '0';
    const left = this.table.keepLeaseAlive(ID) / MILLIS_PER_SECOND;
    return {result: {header: this.header(), ID, TTL: String(left)}};
  }

  private revoke(request: LeaseRequest): object {
    const found = this.table.revokeLease(request.ID ?? '0');
    if (!found) throw new Error('etcdserver: requested lease not found');
    return {header: this.header()};
  }

  private watch(
    request: {create_request: {key: string; start_revision?: string}},
    response: ServerResponse,
  ): void {
    const {key, start_revision: start} = request.create_request;
    const watch = new StoreWatchStream({
      prefix: decode(key),
      fromRevision: Number(start ?? 0),
      table: this.table,
      clock: this.clock,
      faults: this.faults,
      response,
    });
    this.watches.add(watch);
    response.on('close', () => {
      watch.close();
      this.watches.delete(watch);
    });
  }

  private header(): object {
    return {revision: String(this.table.revision)};
  }
}

function decode(encoded: string): string {
  return Buffer.from(encoded, 'base64').toString();
}

function isNewestFirst(request: RangeRequest): boolean {
  return request.sort_order === 'DESCEND' && request.sort_target === 'MOD';
}

/** Reads the key range of a request; a `range_end` of `\0` means no end. */
function readRange(request: RangeRequest): {first: string; end?: string} {
  const end = decode(request.range_end ?? '');
  return {first: decode(request.key), end: end === '\0' ? undefined : end};
}
