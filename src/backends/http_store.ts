import {SystemClock} from '../utilities/clock.js';
import type {Clock} from '../utilities/clock.js';
import {HttpStoreWatch} from './http_store_watch.js';
import {StoreEndpoints} from './store_endpoints.js';
import {
  encodeText,
  endOfPrefix,
  toRevision,
  toStoredValue,
} from './store_messages.js';
import type {
  KeepAliveReply,
  LeaseReply,
  RangeReply,
  TransactionReply,
} from './store_messages.js';
import type {
  Store,
  StoredValue,
  StoreLease,
  StoreList,
  StoreWatch,
  StoreWatcher,
  SwapResult,
} from './store.js';

const DEFAULT_TIMEOUT_MILLIS = 2_000;
const DEFAULT_WATCH_SILENCE_MILLIS = 30_000;
const MILLIS_PER_SECOND = 1_000;

export interface HttpStoreOptions {
  /** HOST:PORT or an origin each, in order of preference at the start. */
  readonly endpoints: readonly string[];
  readonly clock?: Clock;
  readonly timeoutMillis?: number;
  /** Maximum connections to each endpoint, not counting watches. */
  readonly connections?: number;
  /** A watch that receives no message for this long ends. */
  readonly watchSilenceMillis?: number;
}

/**
 * The platform's store over HTTP, in the JSON mapping of etcd v3: keys and
 * values in base64, 64-bit numbers as strings.
 */
export class HttpStore implements Store {
  private readonly clock: Clock;
  private readonly endpoints: StoreEndpoints;
  private readonly watchSilenceMillis: number;

  constructor(options: HttpStoreOptions) {
    this.clock = options.clock ?? new SystemClock();
    this.watchSilenceMillis =
      options.watchSilenceMillis ?? DEFAULT_WATCH_SILENCE_MILLIS;
    this.endpoints = new StoreEndpoints({
      addresses: options.endpoints,
      clock: this.clock,
      timeoutMillis: options.timeoutMillis ?? DEFAULT_TIMEOUT_MILLIS,
      connections: options.connections,
    });
  }

  async get(key: string): Promise<StoredValue | undefined> {
    const reply = await this.read({key: encodeText(key)});
    const first = reply.kvs?.[0];
    return first && toStoredValue(first);
  }

  async newest(prefix: string): Promise<StoredValue | undefined> {
    const reply = await this.read({
      key: encodeText(prefix),
      range_end: encodeText(endOfPrefix(prefix)),
      limit: '1',
      sort_order: 'DESCEND',
      sort_target: 'MOD',
    });
    const first = reply.kvs?.[0];
    return first && toStoredValue(first);
  }

  async list(
    prefix: string,
    options: {afterKey?: string; limit?: number} = {},
  ): Promise<StoreList> {
    const {afterKey, limit} = options;
    const first = afterKey === undefined ? prefix : `${afterKey}\0`;
    const reply = await this.read({
      key: encodeText(first),
      range_end: encodeText(endOfPrefix(prefix)),
      limit: limit === undefined ? undefined : String(limit),
      sort_order: 'ASCEND',
      sort_target: 'KEY',
    });
    return {
      values: (reply.kvs ?? []).map(toStoredValue),
      revision: toRevision(reply.header),
      more: reply.more ?? false,
    };
  }

  compareAndSwap(
    key: string,
    expectedRevision: number,
    value: string,
    options: {leaseId?: string} = {},
  ): Promise<SwapResult> {
    const put = {
      key: encodeText(key),
      value: encodeText(value),
      lease: options.leaseId,
    };
    return this.transact(key, expectedRevision, {requestPut: put});
  }

  compareAndDelete(key: string, expectedRevision: number): Promise<SwapResult> {
    const remove = {key: encodeText(key)};
    return this.transact(key, expectedRevision, {requestDeleteRange: remove});
  }

  async deleteRange(firstKey: string, endKey: string): Promise<void> {
    await this.endpoints.write('/v3/kv/deleterange', {
      key: encodeText(firstKey),
      range_end: encodeText(endKey),
    });
  }

  async grantLease(ttlMillis: number): Promise<StoreLease> {
    const seconds = Math.ceil(ttlMillis / MILLIS_PER_SECOND);
    const reply = await this.endpoints.write<LeaseReply>('/v3/lease/grant', {
      ID: '0',
      TTL: String(seconds),
    });
    return {id: reply.ID ?? '', ttlMillis: toMillis(reply)};
  }

  async keepLeaseAlive(leaseId: string): Promise<number> {
    const reply = await this.endpoints.write<KeepAliveReply>(
      '/v3/lease/keepalive',
      {ID: leaseId},
    );
    return toMillis(reply.result);
  }

  async revokeLease(leaseId: string): Promise<void> {
    await this.endpoints.write('/v3/lease/revoke', {ID: leaseId});
  }

  watch(
    prefix: string,
    fromRevision: number,
    watcher: StoreWatcher,
  ): StoreWatch {
    const watch = new HttpStoreWatch(
      watcher,
      this.clock,
      this.watchSilenceMillis,
    );
    const request = {
      create_request: {
        key: encodeText(prefix),
        range_end: encodeText(endOfPrefix(prefix)),
        start_revision: String(fromRevision),
        progress_notify: true,
      },
    };
    watch.attach(this.endpoints.stream('/v3/watch', request, watch));
    return watch;
  }

  close(reason: string): void {
    this.endpoints.close(reason);
  }

  private read(request: object): Promise<RangeReply> {
    return this.endpoints.read<RangeReply>('/v3/kv/range', request);
  }

  private async transact(
    key: string,
    expectedRevision: number,
    success: object,
  ): Promise<SwapResult> {
    const encodedKey = encodeText(key);
    const reply = await this.endpoints.write<TransactionReply>('/v3/kv/txn', {
      compare: [
        {
          result: 'EQUAL',
          target: 'MOD',
          key: encodedKey,
          modRevision: String(expectedRevision),
        },
      ],
      success: [success],
      failure: [{requestRange: {key: encodedKey}}],
    });
    const revision = toRevision(reply.header);
    if (reply.succeeded) return {succeeded: true, revision};
    const existing = reply.responses?.[0]?.response_range?.kvs?.[0];
    if (!existing) return {succeeded: false, revision};
    return {succeeded: false, revision, current: toStoredValue(existing)};
  }
}

function toMillis(reply: LeaseReply | undefined): number {
  return Number(reply?.TTL ?? 0) * MILLIS_PER_SECOND;
}
