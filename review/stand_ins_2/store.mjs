/** The platform's metadata store, as far as PROTOCOL.md describes it. */
import {createServer} from 'node:http';
import {listen, readBody, sendJson} from './http.mjs';

const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;

export class StoreStandIn {
  revision = 1_000;
  items = new Map();
  events = [];
  leases = new Map();
  nextLease = 1;
  watchers = new Set();
  /**
   * Called with each write of the system. Returns undefined to answer at once,
   * or {lateMillis}: there is no answer, and the write is carried out that much
   * later if its condition still holds.
   */
  fault = () => undefined;

  constructor() {
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.leaseTimer = setInterval(() => this.expireLeases(), 20);
  }

  async listen(host) {
    this.address = `${host}:${await listen(this.server, host)}`;
  }

  close() {
    clearInterval(this.leaseTimer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** A write of the operator. */
  operatorPut(key, value) {
    this.apply({Puts: [{Key: key, Value: encode(JSON.stringify(value)), Lease: 0}]});
  }

  operatorRemove(key) {
    this.apply({Remove: [key]});
  }

  async serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const body = await readBody(request);
    const call = `${request.method} ${url.pathname}`;
    if (call === 'GET /-/kv-key') return this.get(url, response);
    if (call === 'GET /-/kv-range') return this.range(url, response);
    if (call === 'GET /-/kv-watch') return this.watch(url, response);
    if (call === 'POST /-/kv-txn') return this.transact(JSON.parse(body), response);
    if (call === 'POST /-/kv-lease') return this.grant(JSON.parse(body), response);
    const [, , verb, id] = url.pathname.split('/');
    if (verb === 'kv-keep') {
      const lease = this.leases.get(Number(id));
      if (!lease) return sendJson(response, 404, {});
      lease.endsAt = performance.now() + lease.ttl;
      return sendJson(response, 200, {});
    }
    if (verb === 'kv-lease-end') {
      const known = this.leases.has(Number(id));
      this.endLease(Number(id));
      return sendJson(response, known ? 200 : 404, {});
    }
    sendJson(response, 404, {});
  }

  get(url, response) {
    const item = this.items.get(url.searchParams.get('Key'));
    if (!item) return sendJson(response, 404, {CurrentRev: this.revision});
    sendJson(response, 200, {...item, CurrentRev: this.revision});
  }

  range(url, response) {
    const prefix = url.searchParams.get('Prefix') ?? '';
    const after = url.searchParams.get('After') ?? '';
    const keys = [...this.items.keys()]
      .filter(key => key.startsWith(prefix) && key > after)
      .sort();
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      if (items.length >= PAGE_ITEMS || bytes > PAGE_BYTES) break;
      const item = this.items.get(key);
      bytes += item.Value.length;
      items.push(item);
    }
    const HasMore = items.length < keys.length;
    sendJson(response, 200, {items, HasMore, CurrentRev: this.revision});
  }

  watch(url, response) {
    const prefix = url.searchParams.get('Prefix') ?? '';
    const after = Number(url.searchParams.get('After') ?? 0);
    const waitMillis = Number(url.searchParams.get('WaitMs') ?? 0);
    const watcher = {};
    watcher.check = isOver => {
      const events = this.events.filter(
        event => event.Revision > after && event.Key.startsWith(prefix),
      );
      if (events.length === 0 && !isOver) return;
      this.watchers.delete(watcher);
      clearTimeout(watcher.timer);
      sendJson(response, 200, {events, CurrentRev: this.revision});
    };
    watcher.timer = setTimeout(() => watcher.check(true), waitMillis);
    this.watchers.add(watcher);
    watcher.check(waitMillis === 0);
  }

  transact(transaction, response) {
    const fault = this.fault(transaction);
    if (fault) {
      if (fault.lateMillis !== undefined) {
        setTimeout(() => this.apply(transaction), fault.lateMillis);
      }
      // The channel on which a response is lost returns nothing further.
      return;
    }
    const [status, reply] = this.apply(transaction);
    sendJson(response, status, reply);
  }

  /** Carries out a transaction; returns its status and reply. */
  apply({Precondition = [], Puts = [], Remove = []}) {
    if (Precondition.length + Puts.length + Remove.length > 32) return [400, {}];
    const holds = Precondition.every(
      ({Key, Revision}) => (this.items.get(Key)?.Revision ?? 0) === Revision,
    );
    if (!holds) {
      const items = Precondition.map(
        ({Key}) => this.items.get(Key) ?? {Key, Revision: 0},
      );
      return [412, {items, CurrentRev: this.revision}];
    }
    if (Puts.some(({Lease}) => Lease && !this.leases.has(Lease))) return [404, {}];
    if (Puts.length + Remove.length === 0) return [200, {Revision: this.revision}];
    this.revision++;
    for (const {Key, Value, Lease = 0} of Puts) {
      const Created = this.items.get(Key)?.Created ?? this.revision;
      const item = {Key, Value, Revision: this.revision, Created, Lease};
      this.items.set(Key, item);
      this.events.push(item);
    }
    for (const key of Remove) this.remove(key);
    for (const watcher of [...this.watchers]) watcher.check(false);
    return [200, {Revision: this.revision}];
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.events.push({Key: key, Revision: this.revision, Deleted: true});
  }

  grant({TtlMs}, response) {
    const ttl = Math.max(1_000, TtlMs);
    const id = this.nextLease++;
    this.leases.set(id, {ttl, endsAt: performance.now() + ttl});
    sendJson(response, 200, {Lease: id, TtlMs: ttl});
  }

  endLease(id) {
    if (!this.leases.delete(id)) return;
    const keys = [...this.items.values()]
      .filter(item => item.Lease === id)
      .map(item => item.Key);
    if (keys.length > 0) this.apply({Remove: keys});
  }

  expireLeases() {
    const now = performance.now();
    for (const [id, lease] of this.leases) {
      if (lease.endsAt < now) this.endLease(id);
    }
  }
}

export function encode(text) {
  return Buffer.from(text).toString('base64');
}
