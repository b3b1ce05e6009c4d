import {HttpCallError, HttpConnections} from '../backends/http_connections.js';
import type {HttpResponse} from '../backends/http_exchange.js';
import {
  StoreRefusedError,
  StoreUnavailableError,
} from '../backends/platform_errors.js';
import type {StoredValue, StoreLease} from '../backends/store.js';
import {LEASE_ENDED_REASON} from '../backends/transactional_store.js';
import type {
  StoreChanges,
  PrefixList,
  StoreTransaction,
  TransactionalStore,
  TransactionResult,
} from '../backends/transactional_store.js';
import {messageOf} from '../utilities/base_error.js';
import {parseResponseBody} from './json_parsing.js';

/** Twice the time of a slow response when the store is 100 times slower. */
const DEFAULT_TIMEOUT_MILLIS = 1_000;
/** Added to a watch's wait, as its response may transfer up to 1 MB. */
const WATCH_TRANSFER_MILLIS = 1_500;
const CONNECTIONS = 8;
const SERVER_ERROR_STATUS = 500;
const JSON_HEADERS = [['content-type', 'application/json']] as const;

interface WireItem {
  readonly Key: string;
  readonly Value?: string;
  readonly Revision: number;
  readonly Deleted?: boolean;
}

export interface PlatformStoreOptions {
  /** HOST:PORT */
  readonly address: string;
  readonly timeoutMillis?: number;
}

/** The platform's metadata store over HTTP with JSON bodies. */
export class PlatformStore implements TransactionalStore {
  private readonly connections: HttpConnections;
  private readonly timeoutMillis: number;

  constructor(options: PlatformStoreOptions) {
    this.timeoutMillis = options.timeoutMillis ?? DEFAULT_TIMEOUT_MILLIS;
    this.connections = new HttpConnections({
      address: options.address,
      connections: CONNECTIONS,
    });
  }

  async get(key: string): Promise<StoredValue | undefined> {
    const path = `/-/kv-key?Key=${encodeURIComponent(key)}`;
    const response = await this.call('GET', path, '');
    if (response.status === 404) return undefined;
    return toStoredValue(expectOk<WireItem>(response));
  }

  async list(prefix: string): Promise<PrefixList> {
    const values: StoredValue[] = [];
    const encoded = encodeURIComponent(prefix);
    let revision = Infinity;
    let after = '';
    for (;;) {
      const from = after === '' ? '' : `&After=${encodeURIComponent(after)}`;
      const path = `/-/kv-range?Prefix=${encoded}${from}`;
      const response = await this.call('GET', path, '');
      const page = expectOk<{
        items?: WireItem[];
        HasMore?: boolean;
        CurrentRev: number;
      }>(response);
      for (const item of page.items ?? []) values.push(toStoredValue(item));
      revision = Math.min(revision, page.CurrentRev);
      const last = values.at(-1);
      if (!page.HasMore || !last) return {values, revision};
      after = last.key;
    }
  }

  async changesAfter(
    prefix: string,
    revision: number,
    waitMillis: number,
  ): Promise<StoreChanges | undefined> {
    const path = `/-/kv-watch?Prefix=${encodeURIComponent(prefix)}&After=${revision}&WaitMs=${waitMillis}`;
    const timeout = waitMillis + WATCH_TRANSFER_MILLIS;
    const response = await this.call('GET', path, '', timeout);
    if (response.status === 410) return undefined;
    const body = expectOk<{events?: WireItem[]; CurrentRev: number}>(response);
    const changes = (body.events ?? []).map(event => ({
      key: event.Key,
      value: event.Deleted ? undefined : decodeValue(event.Value),
      revision: event.Revision,
    }));
    return {changes, revision: body.CurrentRev};
  }

  async transact(transaction: StoreTransaction): Promise<TransactionResult> {
    const {conditions, puts, removals = []} = transaction;
    const body = JSON.stringify({
      Precondition: conditions.map(({key, revision}) => ({
        Key: key,
        Revision: revision,
      })),
      Puts: puts.map(({key, value, leaseId}) => ({
        Key: key,
        Value: Buffer.from(value).toString('base64'),
        Lease: leaseId === undefined ? 0 : Number(leaseId),
      })),
      Remove: removals,
    });
    const response = await this.call('POST', '/-/kv-txn', body);
    if (response.status === 404)
      throw new StoreRefusedError(LEASE_ENDED_REASON);
    if (response.status === 412) {
      const {items = []} = decode<{items?: WireItem[]}>(response);
      const existing = items.filter(item => item.Revision > 0);
      return {
        succeeded: false,
        revision: 0,
        current: existing.map(toStoredValue),
      };
    }
    const {Revision: revision} = expectOk<{Revision: number}>(response);
    return {succeeded: true, revision, current: []};
  }

  async grantLease(ttlMillis: number): Promise<StoreLease> {
    const body = JSON.stringify({TtlMs: ttlMillis});
    const response = await this.call('POST', '/-/kv-lease', body);
    const lease = expectOk<{Lease: number; TtlMs: number}>(response);
    return {id: String(lease.Lease), ttlMillis: lease.TtlMs};
  }

  async keepLeaseAlive(leaseId: string): Promise<boolean> {
    const response = await this.call('POST', `/-/kv-keep/${leaseId}`, '{}');
    if (response.status === 404) return false;
    expectOk(response);
    return true;
  }

  async revokeLease(leaseId: string): Promise<void> {
    const response = await this.call(
      'DELETE',
      `/-/kv-lease-end/${leaseId}`,
      '',
    );
    if (response.status !== 404) expectOk(response);
  }

  close(reason: string): void {
    this.connections.close(reason);
  }

  private async call(
    method: string,
    path: string,
    body: string,
    timeoutMillis = this.timeoutMillis,
  ): Promise<HttpResponse> {
    try {
      return await this.connections.call({
        method,
        path,
        headers: JSON_HEADERS,
        body,
        timeoutMillis,
      });
    } catch (error) {
      const notSent = error instanceof HttpCallError && !error.sent;
      const errorClass = notSent ? StoreRefusedError : StoreUnavailableError;
      throw new errorClass(messageOf(error), {cause: error});
    }
  }
}

/**
 * 4xx, such as 429, and 503 mean that nothing was done; after other errors the
 * outcome is unknown.
 */
function expectOk<Body>(response: HttpResponse): Body {
  const {status} = response;
  if (status >= 200 && status < 300) return decode<Body>(response);
  const message = `The store responded with status ${status}.`;
  const mayHaveTakenEffect = status >= SERVER_ERROR_STATUS && status !== 503;
  if (mayHaveTakenEffect) throw new StoreUnavailableError(message);
  throw new StoreRefusedError(message);
}

function decode<Body>({body}: HttpResponse): Body {
  return parseResponseBody<Body>(
    body,
    cause =>
      new StoreUnavailableError("The store's response is not JSON.", {cause}),
  );
}

function toStoredValue(item: WireItem): StoredValue {
  return {
    key: item.Key,
    value: decodeValue(item.Value),
    revision: item.Revision,
  };
}

function decodeValue(value = ''): string {
  return Buffer.from(value, 'base64').toString('utf8');
}
