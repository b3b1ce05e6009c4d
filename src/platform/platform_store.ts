import {HttpCallError, HttpConnections} from '../backends/http_connections.js';
import type {HttpAnswer} from '../backends/http_exchange.js';
import {
  StoreRefusedError,
  StoreUnavailableError,
} from '../backends/platform_errors.js';
import type {StoredValue, StoreLease} from '../backends/store.js';
import {LEASE_GONE_REASON} from '../backends/transactional_store.js';
import type {
  StoreChanges,
  StoreListing,
  StoreTransaction,
  TransactionalStore,
  TransactionResult,
} from '../backends/transactional_store.js';
import {messageOf} from '../utilities/base_error.js';
import {parseAnswer} from './received_json.js';

/** Twice the slow answers of a store that is a hundred times slower. */
const DEFAULT_TIMEOUT_MILLIS = 1_000;
/** Answers come within the wait, and a transfer of up to 1 MB. */
const WATCH_GRACE_MILLIS = 1_500;
const CONNECTIONS = 8;
const SERVER_ERROR = 500;
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
    const answer = await this.call('GET', path, '');
    if (answer.status === 404) return undefined;
    return toStoredValue(expectOk<WireItem>(answer));
  }

  async list(prefix: string): Promise<StoreListing> {
    const values: StoredValue[] = [];
    const encoded = encodeURIComponent(prefix);
    let revision = Infinity;
    let after = '';
    for (;;) {
      const from = after === '' ? '' : `&After=${encodeURIComponent(after)}`;
      const path = `/-/kv-range?Prefix=${encoded}${from}`;
      const answer = await this.call('GET', path, '');
      const page = expectOk<{
        items?: WireItem[];
        HasMore?: boolean;
        CurrentRev: number;
      }>(answer);
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
    const timeout = waitMillis + WATCH_GRACE_MILLIS;
    const answer = await this.call('GET', path, '', timeout);
    if (answer.status === 410) return undefined;
    const body = expectOk<{events?: WireItem[]; CurrentRev: number}>(answer);
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
    const answer = await this.call('POST', '/-/kv-txn', body);
    if (answer.status === 404) throw new StoreRefusedError(LEASE_GONE_REASON);
    if (answer.status === 412) {
      const {items = []} = decode<{items?: WireItem[]}>(answer);
      const standing = items.filter(item => item.Revision > 0);
      return {
        succeeded: false,
        revision: 0,
        current: standing.map(toStoredValue),
      };
    }
    const {Revision: revision} = expectOk<{Revision: number}>(answer);
    return {succeeded: true, revision, current: []};
  }

  async grantLease(ttlMillis: number): Promise<StoreLease> {
    const body = JSON.stringify({TtlMs: ttlMillis});
    const answer = await this.call('POST', '/-/kv-lease', body);
    const lease = expectOk<{Lease: number; TtlMs: number}>(answer);
    return {id: String(lease.Lease), ttlMillis: lease.TtlMs};
  }

  async keepLeaseAlive(leaseId: string): Promise<boolean> {
    const answer = await this.call('POST', `/-/kv-keep/${leaseId}`, '{}');
    if (answer.status === 404) return false;
    expectOk(answer);
    return true;
  }

  async revokeLease(leaseId: string): Promise<void> {
    const answer = await this.call('DELETE', `/-/kv-lease-end/${leaseId}`, '');
    if (answer.status !== 404) expectOk(answer);
  }

  close(reason: string): void {
    this.connections.close(reason);
  }

  private async call(
    method: string,
    path: string,
    body: string,
    timeoutMillis = this.timeoutMillis,
  ): Promise<HttpAnswer> {
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
      const failure = notSent ? StoreRefusedError : StoreUnavailableError;
      throw new failure(messageOf(error), {cause: error});
    }
  }
}

/** 429 and 503 mean that nothing was done; of other errors it is not known. */
function expectOk<Body>(answer: HttpAnswer): Body {
  const {status} = answer;
  if (status >= 200 && status < 300) return decode<Body>(answer);
  const message = `The store answered with status ${status}.`;
  const mayBeDone = status >= SERVER_ERROR && status !== 503;
  if (mayBeDone) throw new StoreUnavailableError(message);
  throw new StoreRefusedError(message);
}

function decode<Body>({body}: HttpAnswer): Body {
  return parseAnswer<Body>(
    body,
    cause =>
      new StoreUnavailableError("The store's answer is not JSON.", {cause}),
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
