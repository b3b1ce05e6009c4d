/** An executor in control mode `call`, as PROTOCOL.md describes it. */
import {createServer} from 'node:http';
import {call, readBody, send} from './http_messages.mjs';

const LEASE_CHECK_MILLIS = 20;
const REPORT_TIMEOUT_MILLIS = 1_000;
const MAXIMUM_WAIT_MILLIS = 2_000;
/** Ends that one answer lists. */
const LISTED_ENDS = 500;

/** What runs on an executor that is up; lost with it. */
class Boot {
  running = new Map();
  ended = [];
  lastEnd = 0;
  /** The highest run of a task that was stopped or has ended here. */
  closedRuns = new Map();
  token = 0;
  leaseEnd = 0;
  waiting = new Set();
  sequence = 0;
  born = Date.now();
  #startedAt = performance.now();

  get clock() {
    return Math.floor(performance.now() - this.#startedAt);
  }
}

export class ExecutorStandIn {
  #boot;
  #server;
  #timers = [];
  #reportedAt = -Infinity;
  #isStandingStill = false;

  /**
   * @param {object} options
   * @param {string} options.name For the record.
   * @param {string} options.id
   * @param {string} options.host
   * @param {number} options.port
   * @param {string} options.service
   * @param {string} options.zone
   * @param {string} options.controlAddress Where status reports go.
   * @param {number} options.heartbeatMillis
   * @param {number} options.holdMaximumMillis
   * @param {import('./recorder.mjs').Recorder} options.recorder
   * @param {import('./run_history.mjs').RunHistory} options.history
   * @param {string[]} [options.labels] The kind and the rack.
   * @param {number} [options.milliprocessors]
   * @param {number} [options.stopMillis] At most `GraceStopMs`.
   */
  constructor(options) {
    this.options = {
      labels: ['a', 'r1-1'],
      milliprocessors: 16_000,
      stopMillis: 200,
      ...options,
    };
  }

  get isUp() {
    return this.#boot !== undefined;
  }

  /**
   * Starts a boot under the executor's id. Its reports keep the pace of those
   * of the boot before: the first comes HeartbeatMs after the last of that boot.
   */
  async start() {
    const {host, port, recorder, name, id, heartbeatMillis} = this.options;
    const boot = new Boot();
    this.#boot = boot;
    this.#server = createServer((request, response) =>
      this.#serve(boot, request, response).catch(error =>
        recorder.record('executor-error', {name, message: String(error)}),
      ),
    );
    await new Promise(resolve => this.#server.listen(port, host, resolve));
    recorder.record('executor-up', {name, id, born: boot.born});
    const report = () => {
      this.#reportedAt = performance.now();
      void this.#report(boot);
    };
    const firstReportMillis = Math.max(
      0,
      this.#reportedAt + heartbeatMillis - performance.now(),
    );
    this.#timers = [
      setTimeout(() => {
        report();
        this.#timers.push(setInterval(report, heartbeatMillis));
      }, firstReportMillis),
      setInterval(() => this.#checkLease(boot), LEASE_CHECK_MILLIS),
    ];
  }

  /** Milliseconds since the last status report. */
  get reportAgeMillis() {
    return performance.now() - this.#reportedAt;
  }

  /** Ends at once, with all that runs. */
  crash() {
    const {recorder, name} = this.options;
    const boot = this.#boot;
    this.#boot = undefined;
    for (const timer of this.#timers) clearTimeout(timer);
    this.#server?.close();
    this.#server?.closeAllConnections();
    if (!boot) return;
    recorder.record('executor-down', {name});
    for (const run of [...boot.running.values()]) {
      this.#removeRun(boot, run, 'crashed');
    }
  }

  async #report(boot) {
    const {controlAddress, id, recorder, name} = this.options;
    if (boot !== this.#boot) return;
    const {host, port, service, zone, labels, milliprocessors} = this.options;
    boot.sequence++;
    const answer = await call({
      address: controlAddress,
      method: 'PUT',
      path: `/-/instances/${id}`,
      body: {
        Service: service,
        Address: `${host}:${port}`,
        Zone: zone,
        Version: 'v1',
        Capacity: 8,
        State: 'ready',
        ColdLeftMs: 0,
        FreeCapacity: {Cpu: milliprocessors, MemMb: 64_000, Gpu: 0},
        Labels: labels,
        ClockMs: boot.clock,
        Sequence: boot.sequence,
        born: boot.born,
      },
      timeoutMillis: REPORT_TIMEOUT_MILLIS,
    });
    if (answer.status === 200 && boot.sequence > 1) return;
    recorder.record('status-report', {
      name,
      id,
      born: boot.born,
      sequence: boot.sequence,
      answer: answer.status,
    });
  }

  async #serve(boot, request, response) {
    const body = await readBody(request);
    if (boot !== this.#boot) return request.destroy();
    if (request.headers['x-target-instance'] !== this.options.id)
      return send(response, 421, {ClockMs: boot.clock});
    const {FencingToken = 0} = body;
    if (FencingToken < boot.token) {
      return this.#refuse(boot, response, 'fence');
    }
    boot.token = FencingToken;
    if (request.url === '/-/hold') return this.#hold(boot, body, response);
    if (request.url === '/-/run-start')
      return this.#startRun(boot, body, response);
    if (request.url === '/-/run-stop') this.#stopRun(boot, body);
    return send(response, 200, {ClockMs: boot.clock, born: boot.born});
  }

  #refuse(boot, response, Reason) {
    send(response, 409, {ClockMs: boot.clock, born: boot.born, Reason});
  }

  #prolong(boot, ExpiresMs) {
    if (ExpiresMs === undefined) return;
    const longest = boot.clock + this.options.holdMaximumMillis;
    boot.leaseEnd = Math.max(boot.leaseEnd, Math.min(ExpiresMs, longest));
  }

  #startRun(boot, {Task, Run, Spec, ExpiresMs}, response) {
    const {recorder, name, history} = this.options;
    const refuse = reason => {
      recorder.record('start-refused', {name, Task, Run, reason});
      this.#refuse(boot, response, reason);
    };
    if (ExpiresMs <= boot.clock) return refuse('late');
    this.#prolong(boot, ExpiresMs);
    if (Run <= (boot.closedRuns.get(Task) ?? 0)) return refuse('old');
    const key = `${Task}#${Run}`;
    if (!boot.running.has(key)) {
      const {workMillis} = JSON.parse(Spec);
      const run = {task: Task, run: Run, workMillis};
      boot.running.set(key, run);
      run.record = history.begin(Task, Run, name);
      recorder.record('run-started', {name, task: Task, run: Run});
      run.workedMillis = 0;
      if (!this.#isStandingStill) this.#work(boot, run);
    }
    send(response, 200, {ClockMs: boot.clock, born: boot.born});
  }

  #stopRun(boot, {Task, Run}) {
    const closed = boot.closedRuns.get(Task) ?? 0;
    boot.closedRuns.set(Task, Math.max(closed, Run));
    const run = boot.running.get(`${Task}#${Run}`);
    if (!run || run.isStopping) return;
    run.isStopping = true;
    clearTimeout(run.timer);
    run.timer = setTimeout(
      () => this.#endRun(boot, run, 'stopped'),
      this.options.stopMillis,
    );
  }

  #removeRun(boot, run, how) {
    const {recorder, name, history} = this.options;
    clearTimeout(run.timer);
    boot.running.delete(`${run.task}#${run.run}`);
    history.end(run.record, how);
    recorder.record('run-ended', {name, task: run.task, run: run.run, how});
  }

  #endRun(boot, run, how) {
    this.#removeRun(boot, run, how);
    const closed = boot.closedRuns.get(run.task) ?? 0;
    boot.closedRuns.set(run.task, Math.max(closed, run.run));
    boot.ended.push([++boot.lastEnd, run.task, run.run, how, '']);
    for (const answer of [...boot.waiting]) answer();
  }

  #checkLease(boot) {
    if (boot.clock <= boot.leaseEnd) return;
    for (const run of [...boot.running.values()]) {
      this.#endRun(boot, run, 'lapsed');
    }
  }

  #hold(boot, {LastSeen = 0, ExpiresMs, WaitMs = 0}, response) {
    const {history, recorder, name} = this.options;
    this.#prolong(boot, ExpiresMs);
    const noted = boot.ended.filter(([number]) => number <= LastSeen);
    boot.ended = boot.ended.filter(([number]) => number > LastSeen);
    for (const [number, task, run, how] of noted) {
      history.note(task, run, how);
      recorder.record('end-noted', {name, number, task, run, how, LastSeen});
    }
    const known = boot.lastEnd;
    const answer = () => {
      clearTimeout(timer);
      boot.waiting.delete(answer);
      if (response.destroyed) return;
      const Running = [...boot.running.values()].map(run => [
        run.task,
        run.run,
        '',
        this.#percentOf(boot, run),
        0,
      ]);
      const {clock: ClockMs, born} = boot;
      const Ended = boot.ended.slice(0, LISTED_ENDS);
      send(response, 200, {ClockMs, born, Running, Ended});
    };
    const wait = Math.min(WaitMs, MAXIMUM_WAIT_MILLIS);
    const isDue = wait === 0 || boot.ended.length > 0 || boot.lastEnd > known;
    const timer = isDue ? undefined : setTimeout(answer, wait);
    if (isDue) answer();
    else boot.waiting.add(answer);
  }

  /** Tasks without a duration last: they are at work from the beginning. */
  #percentOf(boot, run) {
    if (run.workMillis === 0) return 100;
    const share = this.#workedMillis(boot, run) / run.workMillis;
    return Math.min(99, Math.floor(100 * share));
  }

  #workedMillis(boot, {workedMillis, workingSince}) {
    if (workingSince === undefined) return workedMillis;
    return workedMillis + boot.clock - workingSince;
  }

  #work(boot, run) {
    run.workingSince = boot.clock;
    if (run.workMillis === 0 || run.isStopping) return;
    const left = Math.max(0, run.workMillis - run.workedMillis);
    run.timer = setTimeout(() => this.#endRun(boot, run, 'done'), left);
  }

  /** The tasks here stand still until the executor goes on. */
  standStill() {
    const boot = this.#boot;
    this.options.recorder.record('stands-still', {name: this.options.name});
    this.#isStandingStill = true;
    for (const run of boot.running.values()) {
      run.workedMillis = this.#workedMillis(boot, run);
      run.workingSince = undefined;
      if (!run.isStopping) clearTimeout(run.timer);
    }
  }

  goOn() {
    const boot = this.#boot;
    this.options.recorder.record('goes-on', {name: this.options.name});
    this.#isStandingStill = false;
    for (const run of boot.running.values()) this.#work(boot, run);
  }
}
