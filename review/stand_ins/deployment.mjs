/** Starts the project's programs as the deploy file says, on loopback addresses. */
import {spawn} from 'node:child_process';
import {
  createWriteStream,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {ExecutorStandIn} from './executor_stand_in.mjs';
import {call} from './http_messages.mjs';
import {RunHistory} from './run_history.mjs';
import {StoreStandIn} from './store_stand_in.mjs';

const REPOSITORY = fileURLToPath(new URL('../../', import.meta.url));
const STORE_HOST = '127.0.0.1';
const RESTART_MILLIS = 500;
/** Until agents have found the owner and executors have reported. */
const SETTLING_MILLIS = 4_000;
const REQUEST_TIMEOUT_MILLIS = 3_000;
const SUBMISSION_MILLIS = 15_000;
const SERVICE = 'service-1';
const HOST = 'queue.example';
const PREFIX = '/tasks/';

/** Bounds of a small deployment. */
const BOUNDS = {
  ContactMs: 3_000,
  AckMs: 4_000,
  DrainMs: 2_000,
  GraceS: 6,
  ConfigApplyMs: 2_000,
  EvacuateMs: 5_000,
  HoldMaxMs: 10_000,
  GraceStopMs: 400,
  cancel_ms: 3_000,
  visible_ms: 3_000,
  finish_s: 14,
  status_s: 120,
};
/** How often executors report. */
const HEARTBEAT_MILLIS = 1_500;

/** One program on one machine; it is started again when it has ended. */
class SystemProcess {
  #child;
  #isClosed = false;

  constructor({name, role, settings, folder, recorder}) {
    this.name = name;
    this.recorder = recorder;
    const {command, template} = readRole(role);
    this.command = command;
    this.settingsFile = join(folder, `${name}.settings`);
    writeFileSync(
      this.settingsFile,
      template.replaceAll('{{.|json}}', JSON.stringify(settings)),
    );
    this.log = createWriteStream(join(folder, `${name}.log`));
  }

  start() {
    if (this.#isClosed) return;
    const [program, ...words] = this.command;
    const {PATH, HOME, LANG} = process.env;
    this.#child = spawn(program, words, {
      cwd: REPOSITORY,
      env: {PATH, HOME, LANG, BURDOCKMOOR_CONFIG: this.settingsFile},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.recorder.record('process-started', {name: this.name});
    this.#child.stdout.pipe(this.log, {end: false});
    this.#child.stderr.pipe(this.log, {end: false});
    this.#child.on('exit', (code, signal) => {
      this.recorder.record('process-ended', {name: this.name, code, signal});
      if (!this.#isClosed) setTimeout(() => this.start(), RESTART_MILLIS);
    });
  }

  kill(signal) {
    this.recorder.record('signal', {name: this.name, signal});
    this.#child?.kill(signal);
  }

  close() {
    this.#isClosed = true;
    this.#child?.kill('SIGKILL');
  }
}

/** Entries, agents with their executors, and the platform's store. */
export class Deployment {
  processes = new Map();
  executors = new Map();
  history = new RunHistory();
  #entries = [];

  /**
   * @param {object} options
   * @param {import('./recorder.mjs').Recorder} options.recorder
   * @param {number} options.entries
   * @param {number} options.agents Each has an executor beside it.
   * @param {Record<number, string[]>} [options.labels] Labels of executors, by
   *     number, where they differ from those of the others.
   */
  constructor(options) {
    this.options = options;
    this.folder = mkdtempSync(join(tmpdir(), 'burdockmoor-review-'));
    mkdirSync(this.folder, {recursive: true});
  }

  /** Starts everything; resolves when the executors can be given work. */
  async start() {
    const {recorder, entries, agents, answerMillis} = this.options;
    const base = await findFreePorts();
    this.ports = {
      process: base,
      front: base + 1,
      ready: base + 2,
      control: base + 3,
      app: base + 4,
      store: base + 5,
    };
    this.store = new StoreStandIn({recorder, answerMillis});
    await this.store.listen(STORE_HOST, this.ports.store);
    this.store.write('op/config', JSON.stringify(this.#configuration()));
    for (let number = 1; number <= entries; number++) this.#addEntry(number);
    for (let number = 1; number <= agents; number++) this.#addAgent(number);
    for (const each of this.processes.values()) each.start();
    for (const executor of this.executors.values()) await executor.start();
    await this.#untilReady();
    await pause(SETTLING_MILLIS);
  }

  close() {
    for (const each of this.processes.values()) each.close();
    for (const executor of this.executors.values()) executor.crash();
    this.store?.close();
    if (process.env.KEEP_LOGS) console.log(`logs: ${this.folder}`);
    else rmSync(this.folder, {recursive: true, force: true});
  }

  controlAddressOf(number) {
    return `127.0.2.${number}:${this.ports.control}`;
  }

  /** A call of a requester; the answer is recorded. */
  async request(method, id, body, entry = 0) {
    const {recorder} = this.options;
    const sentAt = recorder.now;
    const answer = await call({
      address: this.#entries[entry],
      method,
      path: PREFIX + id,
      host: HOST,
      body,
      timeoutMillis: REQUEST_TIMEOUT_MILLIS,
    });
    recorder.record('request', {
      method,
      id,
      sentAt: Number(sentAt.toFixed(3)),
      status: answer.status,
      answer: answer.text.slice(0, 100),
    });
    return answer;
  }

  /** Submits a job, again until it is accepted. */
  async submit(id, job) {
    const isAccepted = await waitFor(async () => {
      const {status} = await this.request('POST', id, job);
      return status === 200;
    }, SUBMISSION_MILLIS);
    if (!isAccepted) throw new CannotRunError(`job ${id} is not accepted`);
  }

  #configuration() {
    return {
      Version: 3,
      Routes: [
        {
          Name: 'queue-1',
          Host: HOST,
          Prefix: PREFIX,
          Service: SERVICE,
          Priority: 0,
          MaxAttempts: 3,
          Stretch: 2,
          TargetLatencyMs: 1_000,
          TimeoutMs: 3_000,
        },
      ],
      Services: [{Name: SERVICE, RejectsOverload: false}],
      Limits: {},
    };
  }

  #addEntry(number) {
    const ip = `127.0.1.${number}`;
    const {front, ready} = this.ports;
    this.#entries.push(`${ip}:${front}`);
    this.#addProcess(`entry-${number}`, 'entry', ip, {
      Front: `${ip}:${front}`,
      Ready: `${ip}:${ready}`,
    });
  }

  #addAgent(number) {
    const ip = `127.0.2.${number}`;
    const {control, app} = this.ports;
    const {labels} = this.options;
    this.#addProcess(`agent-${number}`, 'agent', ip, {
      Control: `${ip}:${control}`,
    });
    const name = `executor-${number}`;
    const executor = new ExecutorStandIn({
      name,
      id: `i-00000000${number}`,
      host: ip,
      port: app,
      service: SERVICE,
      zone: 'zone-1',
      controlAddress: `${ip}:${control}`,
      ...(labels?.[number] && {labels: labels[number]}),
      heartbeatMillis: HEARTBEAT_MILLIS,
      holdMaximumMillis: BOUNDS.HoldMaxMs,
      recorder: this.options.recorder,
      history: this.history,
    });
    this.executors.set(name, executor);
  }

  #addProcess(name, role, ip, Listen) {
    const {process: processPort, store} = this.ports;
    const settings = {
      NodeName: name,
      Ip: ip,
      Zone: 'zone-1',
      Region: 'region-1',
      PortRange: [processPort, processPort],
      Seeds: [],
      HeartbeatMs: HEARTBEAT_MILLIS,
      ControlMode: 'call',
      Service: SERVICE,
      Listen,
      Limits: {CpuShare: 1, Cores: 1, LinkMbps: 1_000},
      Bounds: BOUNDS,
      platform: {Address: `${STORE_HOST}:${store}`, form: 'kv'},
    };
    const {folder, options} = this;
    const {recorder} = options;
    this.processes.set(
      name,
      new SystemProcess({name, role, settings, folder, recorder}),
    );
  }

  /** Waits until a count of waiting jobs is answered, so the pool is owned. */
  async #untilReady() {
    for (let tries = 0; tries < 100; tries++) {
      const {status} = await this.request('GET', '');
      if (status === 200) return;
      await pause(200);
    }
    throw new CannotRunError('no entry serves callers');
  }
}

/** The case could not run, so it shows nothing. */
export class CannotRunError extends Error {}

export function pause(millis) {
  return new Promise(resolve => setTimeout(resolve, millis));
}

/** Waits for a condition; false if it did not come true in time. */
export async function waitFor(condition, timeoutMillis) {
  const end = performance.now() + timeoutMillis;
  while (performance.now() < end) {
    if (await condition()) return true;
    await pause(50);
  }
  return false;
}

/**
 * Returns a job of one step, whose tasks take the time that `Spec` says; 0 means
 * that they last.
 */
export function createJob({count, workMillis, ...step}) {
  return {
    Spec: JSON.stringify({workMillis}),
    Steps: [
      {
        Count: count,
        Cpu: 1_000,
        MemMb: 50,
        EstimateMs: workMillis,
        ...step,
      },
    ],
  };
}

/** Runs a case and ends the process with the status that the review asks for. */
export async function runCase({recorder, deployment, play}) {
  let status = 2;
  const timeout = setTimeout(() => {
    recorder.announce('the script took too long');
    finish();
  }, 115_000);
  const finish = () => {
    clearTimeout(timeout);
    deployment.close();
    recorder.save();
    process.exit(status);
  };
  try {
    await deployment.start();
    const broken = await play();
    recorder.announce(broken ?? 'the rule held');
    status = broken === undefined ? 0 : 1;
  } catch (error) {
    recorder.announce(`the case could not run: ${error.stack ?? error}`);
  }
  finish();
}

/** Reads the command and the template of a role from the deploy file. */
function readRole(role) {
  const file = readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8');
  const section = file.split(`[roles.${role}]`)[1].split('\n[')[0];
  const valueOf = name =>
    new RegExp(`^${name} = "(.*)"$`, 'm').exec(section)[1];
  const template = readFileSync(join(REPOSITORY, valueOf('template')), 'utf8');
  return {command: valueOf('run').split(' '), template};
}

/** Returns the first of six consecutive ports that are free now. */
async function findFreePorts() {
  for (let tries = 0; tries < 50; tries++) {
    const first = 20_000 + Math.floor(Math.random() * 10_000);
    const checks = [0, 1, 2, 3, 4, 5].map(offset => isFree(first + offset));
    if ((await Promise.all(checks)).every(Boolean)) return first;
  }
  throw new CannotRunError('no free ports');
}

/** True if the port is free. */
function isFree(port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, STORE_HOST, () => server.close(() => resolve(true)));
  });
}
