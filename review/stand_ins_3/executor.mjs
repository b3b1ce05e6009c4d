/**
 * An executor with its control interface, as PROTOCOL.md describes it. The
 * Spec of a task is JSON: `ms` is its work, `failMs` makes the named members of
 * a run fail, and other fields belong to the cases.
 */
import {randomBytes} from 'node:crypto';
import {reply, send, serve, sleep} from './http.mjs';

const HEARTBEAT_MILLIS = 1_500;
const STOP_MILLIS = 50;

export class Executor {
  running = new Map();
  ended = [];
  lastEnd = 0;
  highestToken = 0;
  closedRuns = new Map();
  leaseEnd = 0;
  sequence = 0;
  state = 'ready';
  isDown = false;
  holds = new Set();
  /** Returns how a task behaves: {ms, failsAt}; failsAt in ms of work. */
  behaviorOf = ({spec}) => ({ms: JSON.parse(spec).ms ?? 500});
  checkpointMillis = 2_000;
  checkpointOf = ({task, run}, number) => `${task}/${run}/${number}`;
  /** Called for each end of a member of a gang; set by a gang of executors. */
  onEnd = () => {};
  onStart = () => {};

  constructor({name, agentHost, controlPort, service, zone, labels, room, record}) {
    Object.assign(this, {name, agentHost, controlPort, service, zone, labels, room, record});
    this.born = Date.now();
    this.startedAt = performance.now();
    this.id = `i-${randomBytes(5).toString('hex')}`;
  }

  async open() {
    this.server = await serve(this.agentHost, 0, call => this.handle(call));
    this.timer = setInterval(() => this.advance(), 10);
    void this.report();
  }

  get clock() {
    return Math.floor(performance.now() - this.startedAt) + 1_000;
  }

  /** The executor is lost: everything ends, and nobody answers. */
  crash() {
    this.isDown = true;
    clearInterval(this.timer);
    for (const run of this.running.values()) this.record({event: 'lost', executor: this.name, task: run.task, run: run.run});
    this.running.clear();
    this.server.crash();
  }

  /** The machine loses power: channels to it stay open and go silent. */
  losePower() {
    this.isDark = true;
    this.isDown = true;
    clearInterval(this.timer);
    for (const {task, run} of this.running.values()) this.record({event: 'lost', executor: this.name, task, run});
    this.running.clear();
  }

  close() {
    if (this.isDark) this.server.crash();
    if (this.isDown) return;
    this.isDown = true;
    clearInterval(this.timer);
    this.server.crash();
  }

  async report() {
    while (!this.isDown) {
      await send({
        host: this.agentHost,
        port: this.controlPort,
        method: 'PUT',
        path: `/-/instances/${this.id}`,
        timeoutMillis: 1_000,
        body: {
          Service: this.service,
          Address: `${this.agentHost}:${this.server.port}`,
          Zone: this.zone,
          Version: 'v1',
          Capacity: 8,
          State: this.state,
          ColdLeftMs: 0,
          FreeCapacity: this.room,
          Labels: this.labels,
          ClockMs: this.clock,
          Sequence: ++this.sequence,
          born: this.born,
        },
      });
      await sleep(HEARTBEAT_MILLIS);
    }
  }

  handle({url, text, incoming, response}) {
    if (this.isDark) return undefined;
    if (incoming.headers['x-target-instance'] !== this.id) return reply(response, 421, {ClockMs: this.clock, born: this.born});
    const body = JSON.parse(text);
    const path = url.pathname;
    const token = body.FencingToken ?? 0;
    if (token < this.highestToken) return this.refuse(response, 'fence');
    this.highestToken = token;
    if (path === '/-/run-start') return this.start(body, response);
    if (path === '/-/run-stop') return this.stop(body, response);
    if (path === '/-/hold') return this.hold(body, response);
    if (path === '/-/pace') return this.answer(response, 200, {});
    return this.answer(response, 400, {});
  }

  answer(response, status, body) {
    reply(response, status, {ClockMs: this.clock, born: this.born, ...body});
  }

  refuse(response, Reason) {
    this.answer(response, 409, {Reason});
  }

  extend(end) {
    if (end !== undefined) this.leaseEnd = Math.max(this.leaseEnd, end);
  }

  start({Task: task, Run: run, Spec: spec, ExpiresMs, Checkpoint: checkpoint = ''}, response) {
    const key = `${task}#${run}`;
    if (this.running.has(key)) return this.answer(response, 200, {});
    if (run <= (this.closedRuns.get(task) ?? 0)) {
      this.extend(ExpiresMs);
      return this.refuse(response, 'old');
    }
    if (ExpiresMs <= this.clock) return this.refuse(response, 'late');
    this.extend(ExpiresMs);
    const started = {task, run, spec, checkpoint, key, worked: 0, number: 0, saved: checkpoint, updatedAt: performance.now(), isWorking: true};
    started.behavior = this.behaviorOf(started, this);
    this.running.set(key, started);
    this.record({event: 'start', executor: this.name, zone: this.zone, task, run, checkpoint});
    this.onStart(started, this);
    this.answer(response, 200, {});
  }

  stop({Task: task, Run: run}, response) {
    const key = `${task}#${run}`;
    this.closedRuns.set(task, Math.max(run, this.closedRuns.get(task) ?? 0));
    if (this.running.has(key)) setTimeout(() => this.end(key, 'stopped'), STOP_MILLIS);
    this.answer(response, 200, {});
  }

  hold({ExpiresMs, LastSeen = 0, WaitMs = 0}, response) {
    this.extend(ExpiresMs);
    this.ended = this.ended.filter(([number]) => number > LastSeen);
    const respond = () => {
      if (!this.holds.delete(respond) || this.isDark) return;
      clearTimeout(timer);
      this.answer(response, 200, {
        Running: [...this.running.values()].map(run => [run.task, run.run, run.saved, this.percentOf(run), 0]),
        Ended: this.ended.slice(0, 500),
      });
    };
    this.holds.add(respond);
    const timer = setTimeout(respond, this.ended.length > 0 ? 0 : WaitMs);
    response.on('close', () => this.holds.delete(respond));
  }

  percentOf({worked, behavior}) {
    if (behavior.lasts) return worked >= (behavior.startUpMs ?? 500) ? 100 : 50;
    return Math.min(99, Math.floor((100 * worked) / behavior.ms));
  }

  /** Lets the runs work, and ends those that are finished or have no lease. */
  advance() {
    const now = performance.now();
    const hasLease = this.clock < this.leaseEnd;
    for (const run of [...this.running.values()]) {
      if (!hasLease) {
        this.end(run.key, 'lapsed');
        continue;
      }
      if (run.isWorking) run.worked += now - run.updatedAt;
      run.updatedAt = now;
      const number = Math.floor(run.worked / this.checkpointMillis);
      if (run.behavior.saves && number > run.number) {
        run.number = number;
        run.saved = this.checkpointOf(run, number);
      }
      const {ms, failsAt, lasts} = run.behavior;
      if (failsAt !== undefined && run.worked >= failsAt) this.end(run.key, 'failed');
      else if (!lasts && run.worked >= ms) this.end(run.key, 'done');
    }
  }

  end(key, how) {
    const run = this.running.get(key);
    if (!run) return;
    this.running.delete(key);
    this.closedRuns.set(run.task, Math.max(run.run, this.closedRuns.get(run.task) ?? 0));
    this.ended.push([++this.lastEnd, run.task, run.run, how, run.saved]);
    this.record({event: 'end', executor: this.name, task: run.task, run: run.run, how, saved: run.saved});
    for (const respond of [...this.holds]) respond();
    this.onEnd(run, how, this);
  }
}
