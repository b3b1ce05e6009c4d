/** An executor on a `side` machine, as PROTOCOL.md describes it ("Running tasks"). */
import {createServer} from 'node:http';
import {call, listen, readBody, sendJson} from './http.mjs';

const TICK_MILLIS = 20;
const HEARTBEAT_MILLIS = 1_500;

export class ExecutorStandIn {
  runs = new Map();
  ended = [];
  lastEnd = 0;
  token = 0;
  leaseEndsAt = 0;
  /** By task: the highest run that was stopped or has ended here. */
  closedRuns = new Map();
  waiting = new Set();
  sequence = 0;
  state = 'ready';
  isUp = true;
  /** Called with each start call; returns {status, body} to refuse it. */
  refuse = () => undefined;
  /** Called with each order; returns {lateMillis} if it gets no answer. */
  late = () => undefined;

  /**
   * `behave(task, spec)` returns {workMillis, fails, lasting, startMillis, tail}
   * of a run; `record(line)` writes to the record.
   */
  constructor({id, host, service, zone, rack, cpu, memory, bounds, behave, record, gangs}) {
    Object.assign(this, {id, host, service, zone, rack, cpu, memory, bounds, behave, record});
    this.gangs = gangs ?? new Map();
    this.born = Date.now();
    this.startedAt = performance.now();
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
  }

  get clock() {
    return Math.round(performance.now() - this.startedAt);
  }

  async start(controlAddress) {
    this.control = controlAddress;
    this.address = `${this.host}:${await listen(this.server, this.host)}`;
    this.timer = setInterval(() => this.tick(), TICK_MILLIS);
    this.heartbeatTimer = setInterval(() => void this.report(), HEARTBEAT_MILLIS);
    void this.reportUntilAcknowledged();
  }

  /** A crash, or the end of the test. */
  close() {
    this.isUp = false;
    for (const run of this.runs.values()) if (run.gang) this.endGang(run, 'crash');
    clearInterval(this.timer);
    clearInterval(this.heartbeatTimer);
    this.server.close();
    this.server.closeAllConnections();
  }

  async reportUntilAcknowledged() {
    while (this.isUp && !(await this.report())) {
      await new Promise(resolve => setTimeout(resolve, 200));
    }
  }

  description() {
    return {
      Service: this.service, Address: this.address, Zone: this.zone,
      Version: 'v1', Capacity: 8, State: this.state, ColdLeftMs: 0,
      FreeCapacity: {Cpu: this.cpu, MemMb: this.memory, Gpu: 0},
      Labels: [this.kind ?? 'a', this.rack], ClockMs: this.clock, born: this.born,
      ...(this.state === 'draining' && {RemainingMs: this.remainingMillis ?? 0}),
      Sequence: ++this.sequence,
    };
  }

  /** Sends a status report; true if it was acknowledged. */
  async report() {
    const state = this.state;
    const body = this.description();
    const {status} = await call(this.control, 'PUT', `/-/instances/${this.id}`, {
      body, timeoutMillis: 1_000,
    });
    const isAcknowledged = status >= 200 && status < 300;
    if (isAcknowledged && state === 'draining' && !this.drainAcknowledgedAt) {
      this.drainAcknowledgedAt = performance.now();
      this.record(`${this.id}: draining was acknowledged`);
    }
    return isAcknowledged;
  }

  async serve(request, response) {
    const body = JSON.parse((await readBody(request)) || '{}');
    if (request.headers['x-target-instance'] !== this.id) {
      return sendJson(response, 421, {ClockMs: this.clock});
    }
    const order = request.url.slice('/-/'.length);
    const late = this.late(order, body);
    if (late) {
      setTimeout(() => this.carryOut(order, body, undefined), late.lateMillis);
      return;
    }
    this.carryOut(order, body, response);
  }

  carryOut(order, body, response) {
    const reply = (status, more = {}) => {
      if (response) sendJson(response, status, {ClockMs: this.clock, born: this.born, ...more});
    };
    if (!this.isUp) return;
    const token = body.FencingToken ?? 0;
    if (token < this.token) return reply(409, {Reason: 'fence'});
    this.token = token;
    if (order === 'run-start') return this.startRun(body, reply);
    if (order === 'run-stop') return this.stopRun(body, reply);
    if (order === 'pace') return this.pace(body, reply);
    if (order === 'hold') return this.hold(body, reply);
    reply(400);
  }

  extend(expires) {
    if (expires === undefined) return;
    const longest = this.clock + this.bounds.HoldMaxMs;
    this.leaseEndsAt = Math.max(this.leaseEndsAt, Math.min(expires, longest));
  }

  startRun({Task, Run, Spec, ExpiresMs, Checkpoint = ''}, reply) {
    const refusal = this.refuse(Task, Run);
    if (refusal) return reply(refusal.status, refusal.body);
    const present = this.runs.get(Task);
    if (present?.run === Run) {
      this.extend(ExpiresMs);
      return reply(200);
    }
    if (!(ExpiresMs > this.clock)) return reply(409, {Reason: 'late'});
    this.extend(ExpiresMs);
    if ((this.closedRuns.get(Task) ?? 0) >= Run || present) return reply(409, {Reason: 'old'});
    const behavior = this.behave(Task, Spec);
    const resumedMillis = Checkpoint === '' ? 0 : parseInt(Checkpoint.slice(0, 8), 16);
    const run = {
      task: Task, run: Run, spec: Spec, checkpoint: Checkpoint, behavior, percent: 100,
      doneMillis: 0, startedAt: performance.now(), seenAt: performance.now(),
      resumedMillis, savedCount: 0, executor: this,
    };
    if (behavior.gang) run.gang = this.joinGang(run);
    this.runs.set(Task, run);
    this.record(`${this.id}: starts ${Task} run ${Run}${Checkpoint && ` from ${Checkpoint}`}`);
    this.onStart?.(Task, Run, Spec, Checkpoint);
    reply(200);
  }

  stopRun({Task, Run}, reply) {
    const present = this.runs.get(Task);
    if (present?.run === Run) {
      this.record(`${this.id}: is told to stop ${Task} run ${Run}`);
      setTimeout(() => this.end(present, 'stopped'), this.bounds.GraceStopMs / 2);
    } else this.closeRun(Task, Run);
    reply(200);
  }

  pace({Task, Run, Percent}, reply) {
    const present = this.runs.get(Task);
    if (present?.run === Run) {
      this.advance(present);
      present.percent = Percent;
      this.record(`${this.id}: paces ${Task} run ${Run} to ${Percent}`);
    }
    reply(200);
  }

  hold({LastSeen = 0, ExpiresMs, WaitMs = 0}, reply) {
    this.extend(ExpiresMs);
    this.ended = this.ended.filter(([number]) => number > LastSeen);
    const answer = () => {
      this.waiting.delete(answer);
      clearTimeout(timer);
      reply(200, {Running: this.listRunning(), Ended: this.ended.slice(0, 500)});
    };
    const timer = setTimeout(answer, WaitMs);
    if (WaitMs === 0 || this.ended.length > 0) return answer();
    this.waiting.add(answer);
  }

  listRunning() {
    return [...this.runs.values()].map(run => {
      this.advance(run);
      const {behavior} = run;
      const age = performance.now() - run.startedAt;
      const share = behavior.lasting
        ? Math.min(1, age / behavior.startMillis)
        : (run.doneMillis + run.resumedMillis) / behavior.workMillis;
      const measure = behavior.lasting ? behavior.tail ?? 0 : Math.round(((behavior.uses ?? 500) * run.percent) / 100);
      return [run.task, run.run, run.checkpoint, Math.floor(100 * Math.min(1, share)), measure];
    });
  }

  advance(run) {
    const now = performance.now();
    const isWorking = !run.gang || run.gang.size === run.behavior.gang;
    if (isWorking) run.doneMillis += ((now - run.seenAt) * run.percent) / 100;
    run.seenAt = now;
    const {checkpoints} = run.behavior;
    const saved = Math.floor(run.doneMillis / 1_000 / this.bounds.CheckpointS);
    if (!checkpoints || saved <= run.savedCount) return;
    run.savedCount = saved;
    // Each member of a gang has values of its own.
    const index = Number(run.task.split('.').at(-1));
    const done = run.resumedMillis + saved * this.bounds.CheckpointS * 1_000;
    run.checkpoint = `${done.toString(16).padStart(8, '0')}${index.toString(16).padStart(8, '0')}`;
  }

  tick() {
    if (this.runs.size > 0 && this.clock > this.leaseEndsAt) {
      for (const run of [...this.runs.values()]) this.end(run, 'lapsed');
    }
    for (const run of [...this.runs.values()]) {
      this.advance(run);
      const {behavior} = run;
      if (behavior.lasting) {
        const age = performance.now() - run.startedAt;
        if (behavior.failsAfter !== undefined && age > behavior.failsAfter) this.end(run, 'failed');
      } else if (run.gang && run.gang.size < behavior.gang) {
        const age = performance.now() - run.startedAt;
        if (age > this.bounds.GangWaitMs) this.end(run, 'alone');
      } else if (run.doneMillis + run.resumedMillis >= behavior.workMillis) {
        this.end(run, behavior.fails ? 'failed' : 'done');
      }
    }
  }

  /** True if the run of the task is at work. */
  isAtWork(task) {
    const run = this.runs.get(task);
    if (!run) return false;
    if (!run.behavior.lasting) return true;
    return performance.now() - run.startedAt >= run.behavior.startMillis;
  }

  end(run, how) {
    if (this.runs.get(run.task) !== run) return;
    this.runs.delete(run.task);
    this.closeRun(run.task, run.run);
    this.ended.push([++this.lastEnd, run.task, run.run, how, run.checkpoint]);
    this.record(`${this.id}: ${run.task} run ${run.run} ends ${how}`);
    this.onEnd?.(run.task, run.run, how);
    if (run.gang) this.endGang(run, how);
    for (const answer of [...this.waiting]) answer();
  }

  /** Adds the run to the members of its gang, on all executors. */
  joinGang(run) {
    const key = `${run.task.split('.').slice(0, 3).join('.')}#${run.run}`;
    const members = this.gangs.get(key) ?? new Set();
    this.gangs.set(key, members.add(run));
    return members;
  }

  /** The members of a gang end together. */
  endGang(run, how) {
    for (const other of [...run.gang]) {
      run.gang.delete(other);
      if (other === run || !other.executor.isUp) continue;
      other.executor.advance(other);
      other.executor.end(other, how === 'done' ? 'done' : 'broken');
    }
  }

  closeRun(task, run) {
    this.closedRuns.set(task, Math.max(run, this.closedRuns.get(task) ?? 0));
  }
}
