/** The platform's metadata store, as PROTOCOL.md describes it. */
import {createServer} from 'node:http';
import {readBody, send} from './http_messages.mjs';

const MAXIMUM_ENTRIES = 32;
const MAXIMUM_WAIT_MILLIS = 30_000;
const PAGE_ITEMS = 500;

export class StoreStandIn {
  #items = new Map();
  #history = [];
  #leases = new Map();
  #watches = new Set();
  #revision = 100;
  #nextLease = 1;
  #delayed;

  /**
   * @param {object} options
   * @param {import('./recorder.mjs').Recorder} options.recorder
   * @param {number} [options.answerMillis] Time until a call is answered.
   */
  constructor({recorder, answerMillis = 4}) {
    this.recorder = recorder;
    this.answerMillis = answerMillis;
    this.server = createServer((request, response) =>
      this.#serve(request, response).catch(error => {
        recorder.record('store-error', {message: String(error)});
        if (!response.headersSent) send(response, 500, {});
      }),
    );
  }

  listen(host, port) {
    return new Promise(resolve => this.server.listen(port, host, resolve));
  }

  close() {
    for (const lease of this.#leases.values()) clearTimeout(lease.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** A write of the operator. */
  write(key, text) {
    this.#apply([{Key: key, Value: Buffer.from(text).toString('base64')}], []);
  }

  /**
   * The next transaction that writes the key gets no answer and is carried out
   * after the delay, if its condition still holds.
   */
  delayWrite(key, delayMillis) {
    this.#delayed = {key, delayMillis};
  }

  keys(prefix) {
    return [...this.#items.keys()].filter(key => key.startsWith(prefix));
  }

  read(key) {
    const item = this.#items.get(key);
    return item && Buffer.from(item.Value, 'base64').toString('utf8');
  }

  async #serve(request, response) {
    const body = await readBody(request);
    const url = new URL(request.url, 'http://store');
    await new Promise(resolve => setTimeout(resolve, this.answerMillis));
    const path = url.pathname;
    if (path === '/-/kv-key') return this.#key(url, response);
    if (path === '/-/kv-range') return this.#range(url, response);
    if (path === '/-/kv-watch') return this.#watch(url, response);
    if (path === '/-/kv-txn') return this.#transact(body, response);
    if (path === '/-/kv-lease') return this.#grant(body, response);
    const id = Number(path.split('/').at(-1));
    if (path.startsWith('/-/kv-keep/')) return this.#keep(id, response);
    if (path.startsWith('/-/kv-lease-end/')) return this.#end(id, response);
    return send(response, 404, {});
  }

  #key(url, response) {
    const item = this.#items.get(url.searchParams.get('Key'));
    if (!item) return send(response, 404, {CurrentRev: this.#revision});
    return send(response, 200, {...item, CurrentRev: this.#revision});
  }

  #range(url, response) {
    const prefix = url.searchParams.get('Prefix') ?? '';
    const after = url.searchParams.get('After') ?? '';
    const keys = this.keys(prefix)
      .filter(key => key > after)
      .sort();
    const items = keys.slice(0, PAGE_ITEMS).map(key => this.#items.get(key));
    const HasMore = keys.length > PAGE_ITEMS;
    return send(response, 200, {items, HasMore, CurrentRev: this.#revision});
  }

  #watch(url, response) {
    const prefix = url.searchParams.get('Prefix') ?? '';
    const after = Number(url.searchParams.get('After'));
    const wait = Math.min(
      Number(url.searchParams.get('WaitMs')),
      MAXIMUM_WAIT_MILLIS,
    );
    const answer = isLast => {
      const events = this.#history.filter(
        ({Key, Revision}) => Revision > after && Key.startsWith(prefix),
      );
      if (events.length === 0 && !isLast) return;
      clearTimeout(timer);
      this.#watches.delete(answer);
      send(response, 200, {events, CurrentRev: this.#revision});
    };
    const timer = setTimeout(() => answer(true), wait);
    this.#watches.add(answer);
    response.on('close', () => {
      clearTimeout(timer);
      this.#watches.delete(answer);
    });
    answer(false);
  }

  #transact(body, response) {
    const {Puts = []} = body;
    if (Puts.some(({Key}) => Key === this.#delayed?.key)) {
      const {key, delayMillis} = this.#delayed;
      this.#delayed = undefined;
      this.recorder.record('store-loses-answer', {key, delayMillis});
      response.destroy();
      setTimeout(() => {
        const isDone = this.#carryOut(body).status === 200;
        this.recorder.record('store-carries-out-late', {key, isDone});
      }, delayMillis);
      return undefined;
    }
    const {status, answer} = this.#carryOut(body);
    return send(response, status, answer);
  }

  /** Carries out a transaction, and returns its answer. */
  #carryOut({Precondition = [], Puts = [], Remove = []}) {
    const count = Precondition.length + Puts.length + Remove.length;
    if (count > MAXIMUM_ENTRIES) {
      this.recorder.record('store-rejected-transaction', {entries: count});
      return {status: 400, answer: {}};
    }
    const isReserved = key =>
      key.startsWith('op/') || key.startsWith('servers/');
    if ([...Puts.map(put => put.Key), ...Remove].some(isReserved))
      return {status: 403, answer: {}};
    const revisionOf = key => this.#items.get(key)?.Revision ?? 0;
    if (Precondition.some(({Key, Revision}) => revisionOf(Key) !== Revision)) {
      const items = Precondition.map(
        ({Key}) => this.#items.get(Key) ?? {Key, Revision: 0},
      );
      return {status: 412, answer: {items, CurrentRev: this.#revision}};
    }
    if (Puts.some(({Lease = 0}) => Lease !== 0 && !this.#leases.has(Lease)))
      return {status: 404, answer: {}};
    if (Puts.length + Remove.length > 0) this.#apply(Puts, Remove);
    return {status: 200, answer: {Revision: this.#revision}};
  }

  #apply(puts, removals) {
    const Revision = ++this.#revision;
    for (const {Key, Value = '', Lease = 0} of puts) {
      const Created = this.#items.get(Key)?.Created ?? Revision;
      const item = {Key, Value, Revision, Created, Lease};
      this.#items.set(Key, item);
      this.#history.push(item);
    }
    for (const Key of removals) {
      if (!this.#items.delete(Key)) continue;
      this.#history.push({Key, Revision, Deleted: true});
    }
    for (const answer of [...this.#watches]) answer(false);
  }

  #grant({TtlMs}, response) {
    const Lease = this.#nextLease++;
    this.#leases.set(Lease, {ttl: TtlMs, timer: undefined});
    this.#prolong(Lease);
    return send(response, 200, {Lease, TtlMs});
  }

  #keep(id, response) {
    if (!this.#leases.has(id)) return send(response, 404, {});
    this.#prolong(id);
    return send(response, 200, {TtlMs: this.#leases.get(id).ttl});
  }

  #end(id, response) {
    if (!this.#leases.has(id)) return send(response, 404, {});
    this.#expire(id);
    return send(response, 200, {});
  }

  #prolong(id) {
    const lease = this.#leases.get(id);
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => this.#expire(id), lease.ttl);
  }

  #expire(id) {
    const lease = this.#leases.get(id);
    if (!lease) return;
    clearTimeout(lease.timer);
    this.#leases.delete(id);
    const keys = [...this.#items.values()]
      .filter(item => item.Lease === id)
      .map(({Key}) => Key);
    if (keys.length > 0) this.#apply([], keys);
  }
}
