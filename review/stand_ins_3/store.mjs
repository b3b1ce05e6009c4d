/** The platform's metadata store, as PROTOCOL.md describes it. */
import {reply, serve, sleep} from './http.mjs';

const ANSWER_MILLIS = 4;
const PAGE_ITEMS = 500;

export class Store {
  items = new Map();
  history = [];
  revision = 1;
  leases = new Map();
  nextLease = 1;
  waiting = new Set();
  /** Answers take this long. */
  answerMillis = ANSWER_MILLIS;
  /** Called after a transaction was carried out, before its answer. */
  onTransaction = () => {};
  /** If true for a call, the call gets no answer and is not carried out. */
  isSilentFor = () => false;

  async open(host) {
    this.host = host;
    this.server = await serve(host, 0, call => this.handle(call));
    this.port = this.server.port;
    this.timer = setInterval(() => this.endLeases(), 20);
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  close() {
    clearInterval(this.timer);
    this.server.crash();
  }

  /** A write of the operator; resolves when it is acknowledged. */
  async operatorWrite(key, value) {
    this.change([{Key: key, Value: encode(JSON.stringify(value))}], []);
    await sleep(this.answerMillis);
  }

  async operatorRemove(key) {
    this.change([], [key]);
    await sleep(this.answerMillis);
  }

  read(key) {
    const item = this.items.get(key);
    return item && Buffer.from(item.Value, 'base64').toString('utf8');
  }

  async handle(call) {
    if (this.isSilentFor(call)) return;
    const {method, url, text, response} = call;
    const path = url.pathname;
    const body = text === '' ? {} : JSON.parse(text);
    const query = url.searchParams;
    const answer = async (status, result) => {
      await sleep(this.answerMillis);
      reply(response, status, result);
    };
    if (path === '/-/kv-key') {
      const item = this.items.get(query.get('Key'));
      return item ? answer(200, {...item, CurrentRev: this.revision}) : answer(404);
    }
    if (path === '/-/kv-range') return answer(200, this.range(query));
    if (path === '/-/kv-watch') return this.watch(query, response);
    if (path === '/-/kv-txn') return this.transact(body, answer);
    if (path === '/-/kv-lease') {
      const lease = this.nextLease++;
      this.leases.set(lease, {ttl: body.TtlMs, end: performance.now() + body.TtlMs});
      return answer(200, {Lease: lease, TtlMs: body.TtlMs});
    }
    if (path.startsWith('/-/kv-keep/')) {
      const lease = this.leases.get(Number(path.slice(11)));
      if (!lease) return answer(404);
      lease.end = performance.now() + lease.ttl;
      return answer(200, {TtlMs: lease.ttl});
    }
    if (method === 'DELETE' && path.startsWith('/-/kv-lease-end/')) {
      const id = Number(path.slice(16));
      if (!this.leases.has(id)) return answer(404);
      this.endLease(id);
      return answer(200, {});
    }
    return answer(400);
  }

  range(query) {
    const prefix = query.get('Prefix');
    const after = query.get('After') ?? '';
    const keys = [...this.items.keys()]
      .filter(key => key.startsWith(prefix) && key > after)
      .sort();
    const page = keys.slice(0, PAGE_ITEMS);
    return {
      items: page.map(key => this.items.get(key)),
      HasMore: page.length < keys.length,
      CurrentRev: this.revision,
    };
  }

  watch(query, response) {
    const prefix = query.get('Prefix');
    const after = Number(query.get('After'));
    const watcher = {prefix, after, response};
    if (this.answerWatch(watcher)) return;
    this.waiting.add(watcher);
    setTimeout(() => {
      if (!this.waiting.delete(watcher)) return;
      reply(response, 200, {events: [], CurrentRev: this.revision});
    }, Number(query.get('WaitMs')));
    response.on('close', () => this.waiting.delete(watcher));
  }

  answerWatch({prefix, after, response}) {
    const events = this.history
      .filter(event => event.Revision > after && event.Key.startsWith(prefix));
    if (events.length === 0) return false;
    const CurrentRev = this.revision;
    setTimeout(() => reply(response, 200, {events, CurrentRev}), this.answerMillis);
    return true;
  }

  transact({Precondition = [], Puts = [], Remove = []}, answer) {
    const holds = Precondition.every(
      ({Key, Revision}) => (this.items.get(Key)?.Revision ?? 0) === Revision,
    );
    if (!holds) {
      const items = Precondition.map(
        ({Key}) => this.items.get(Key) ?? {Key, Value: '', Revision: 0},
      );
      return answer(412, {items});
    }
    if (Puts.some(({Lease}) => Lease && !this.leases.has(Lease))) return answer(404);
    const Revision = this.change(Puts, Remove);
    const answered = answer(200, {Revision});
    this.onTransaction({puts: Puts, removals: Remove});
    return answered;
  }

  change(puts, removals) {
    if (puts.length + removals.length === 0) return this.revision;
    const Revision = ++this.revision;
    for (const {Key, Value, Lease = 0} of puts) {
      const Created = this.items.get(Key)?.Created ?? Revision;
      const item = {Key, Value, Revision, Created, Lease};
      this.items.set(Key, item);
      this.history.push(item);
    }
    for (const Key of removals) {
      if (this.items.delete(Key)) this.history.push({Key, Revision, Deleted: true});
    }
    if (this.history.length > 20_000) this.history.splice(0, 10_000);
    for (const watcher of this.waiting) {
      if (this.answerWatch(watcher)) this.waiting.delete(watcher);
    }
    return Revision;
  }

  endLeases() {
    const now = performance.now();
    for (const [id, {end}] of this.leases) if (end <= now) this.endLease(id);
  }

  endLease(id) {
    this.leases.delete(id);
    const keys = [...this.items.values()].filter(item => item.Lease === id);
    if (keys.length > 0) this.change([], keys.map(({Key}) => Key));
  }
}

function encode(text) {
  return Buffer.from(text).toString('base64');
}
