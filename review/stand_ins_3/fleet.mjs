/** A small deployment: the project's processes and the stand-ins beside them. */
import {spawn} from 'node:child_process';
import {closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {Executor} from './executor.mjs';
import {send, sleep} from './http.mjs';
import {Store} from './store.mjs';

const REPOSITORY = fileURLToPath(new URL('../../', import.meta.url));
const FIRST_HOST = 20;
const READY_TIMEOUT_MILLIS = 25_000;
export const SERVICE = 'svc1';
export const QUEUE = {host: 'queue.example', prefix: '/work/'};

/** The bounds of the site asantewaa-rounds. */
const BOUNDS = {
  SeedLagS: 3, AddrReuseS: 2, ContactMs: 3000, AckMs: 4000, SyncS: 4, DrainMs: 2000, GraceS: 6,
  LossSlackMs: 200, ConfigApplyMs: 2000, BackMs: 250, MaxStretchMs: 5000, ColdOver: 1.5, ColdSlack: 5,
  EvacuateMs: 5000, RecoveryS: 12, HoldMaxMs: 10000, GraceStopMs: 400, GangWaitMs: 3000, cancel_ms: 3000,
  visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, RemoteFactor: 1.5, CheckpointS: 2,
  RestoreMs: 600, NoticeMs: 4500, MigrateS: 1.5, MaintenanceS: 2, RequireFence: false, LeaseMs: 3000,
  ThawMs: 300, PaceMs: 100, HarmMs: 4000,
};

/** The commands of the deploy file, by role. */
function readDeployCommands() {
  const commands = new Map();
  let role;
  for (const line of readFileSync(path.join(REPOSITORY, 'deploy/system.toml'), 'utf8').split('\n')) {
    role = /^\[roles\.(.+)\]/.exec(line)?.[1] ?? role;
    const run = /^run = "(.+)"/.exec(line)?.[1];
    if (run) commands.set(role, run.split(' '));
  }
  return commands;
}

/** Returns a port that is free on all hosts. */
async function findFreePort(hosts) {
  for (;;) {
    const port = 20_000 + Math.floor(Math.random() * 12_000);
    const isFree = host =>
      new Promise(resolve => {
        const server = createServer();
        server.once('error', () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
      });
    const free = await Promise.all(hosts.map(isFree));
    if (free.every(Boolean)) return port;
  }
}

class MachineProcess {
  constructor(name, command, settingsFile, logFile) {
    Object.assign(this, {name, command, settingsFile, logFile});
  }

  start() {
    const [program, ...words] = this.command;
    const log = openSync(this.logFile, 'a');
    this.child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: REPOSITORY,
      stdio: ['ignore', log, log],
      env: {PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, BURDOCKMOOR_CONFIG: this.settingsFile},
    });
    closeSync(log);
    const {child} = this;
    this.ended = new Promise(resolve => child.once('exit', (code, signal) => resolve({code, signal})));
    this.ended.then(end => (child.end = end));
  }

  get isRunning() {
    return this.child !== undefined && this.child.end === undefined;
  }

  signal(name) {
    if (this.isRunning) this.child.kill(name);
  }
}

export class Fleet {
  records = [];
  executors = [];
  processes = new Map();
  startedAt = performance.now();

  /** `zones` lists the zone of each worker machine; entries take the first ones. */
  constructor({entries = 2, zones, room = {Cpu: 16_000, MemMb: 64_000, Gpu: 0}, labelsOf, scheduling = {probes: true, sharedInterference: true}, queue = {}}) {
    Object.assign(this, {entryCount: entries, zones, room, labelsOf, scheduling, queue});
    this.folder = mkdtempSync(path.join(tmpdir(), 'review-3-'));
    this.store = new Store();
  }

  record = fields => {
    this.records.push({at: Math.round(performance.now() - this.startedAt), ...fields});
  };

  get now() {
    return Math.round(performance.now() - this.startedAt);
  }

  async start() {
    const commands = readDeployCommands();
    const names = [
      ...Array.from({length: this.entryCount}, (_, index) => ({name: `front-${index + 1}`, role: 'entry', zone: this.zones[index % this.zones.length]})),
      ...this.zones.map((zone, index) => ({name: `side-${index + 1}`, role: 'agent', zone})),
    ].map((machine, index) => ({...machine, ip: `127.0.0.${FIRST_HOST + index}`}));
    const hosts = names.map(({ip}) => ip);
    const ports = [];
    while (ports.length < 4) ports.push(await findFreePort(hosts));
    const [processPort, frontPort, readyPort, controlPort] = ports;
    this.frontPort = frontPort;
    this.readyPort = readyPort;
    await this.store.open('127.0.0.1');
    await this.store.operatorWrite('op/config', this.configuration(1));
    this.machines = names;
    for (const {name, role, zone, ip} of names) {
      const isEntry = role === 'entry';
      const platform = {
        NodeName: name, Role: role, MachineClass: isEntry ? 'front' : 'side', Ip: ip, Zone: zone, Region: 'r',
        PortRange: [processPort, processPort + 15], Seeds: [], Bootstrap: true, HeartbeatMs: 1500, ControlMode: 'call',
        ...(isEntry ? {} : {Service: SERVICE}),
        Listen: isEntry ? {Front: `${ip}:${frontPort}`, Ready: `${ip}:${readyPort}`} : {Control: `${ip}:${controlPort}`},
        Limits: {CpuShare: 1, Cores: 1, MemoryMb: isEntry ? 350 : 218, MaxFds: 4096, LinkMbps: 1000},
        Bounds: BOUNDS,
        platform: {Address: this.store.address, form: 'kv', WritesPerS: 400, ReadsPerS: 2000, RetentionS: 20, ValueBytes: 1048576, TtlMinMs: 1000},
      };
      const settings = path.join(this.folder, `${name}.json`);
      writeFileSync(settings, JSON.stringify({scheduling: this.scheduling, platform}));
      const child = new MachineProcess(name, commands.get(role), settings, path.join(this.folder, `${name}.log`));
      this.processes.set(name, child);
      child.start();
    }
    for (const [index, machine] of names.filter(({role}) => role === 'agent').entries()) {
      const executor = new Executor({
        name: `executor-${index + 1}`, agentHost: machine.ip, controlPort, service: SERVICE, zone: machine.zone,
        labels: this.labelsOf?.(index) ?? ['a', `r-${index}`], room: this.room, record: this.record,
      });
      this.executors.push(executor);
      await executor.open();
    }
    await this.waitUntilReady();
  }

  configuration(Version) {
    return {
      Version,
      Routes: [{Name: 'queue-1', Host: QUEUE.host, Prefix: QUEUE.prefix, Service: SERVICE, Priority: 0, MaxAttempts: 4, Stretch: 2, TargetLatencyMs: 1000, TimeoutMs: 3000, ...this.queue}],
      Services: [{Name: SERVICE, RejectsOverload: false}],
      Limits: {MaxBodyBytes: 1048576},
    };
  }

  entries() {
    return this.machines.filter(({role}) => role === 'entry');
  }

  async waitUntilReady() {
    const deadline = performance.now() + READY_TIMEOUT_MILLIS;
    while (performance.now() < deadline) {
      const ready = await Promise.all(
        this.entries().map(({ip}) => send({host: ip, port: this.readyPort, method: 'GET', path: '/-/ready', timeoutMillis: 500})),
      );
      const isOwned = this.store.items.has('burdockmoor/owner');
      const haveLeases = this.executors.every(executor => executor.leaseEnd > executor.clock);
      if (ready.every(({status}) => status === 200) && isOwned && haveLeases) return;
      await sleep(100);
    }
    throw new Error('the deployment did not become ready');
  }

  /** A call of a client on the queue, by the entry with this index. */
  async call(method, id, {entry = 0, body, timeoutMillis} = {}) {
    const {ip, name} = this.entries()[entry];
    const sentAt = this.now;
    const response = await send({
      host: ip, port: this.frontPort, method, path: QUEUE.prefix + id,
      headers: {host: QUEUE.host, 'x-deadline-ms': '3000'}, body, timeoutMillis,
    });
    this.record({event: 'call', method, id, entry: name, sentAt, status: response.status, answer: response.body});
    return response;
  }

  starts(filter = () => true) {
    return this.records.filter(each => each.event === 'start' && filter(each));
  }

  async stop() {
    for (const executor of this.executors) executor.close();
    for (const child of this.processes.values()) child.signal('SIGCONT');
    for (const child of this.processes.values()) child.signal('SIGKILL');
    await Promise.all([...this.processes.values()].map(({ended}) => ended));
    this.store.close();
    if (!process.env.KEEP_LOGS) rmSync(this.folder, {recursive: true, force: true});
    else console.log(`logs: ${this.folder}`);
  }
}
