/** Starts entries and agents with the commands of the deploy file, and records a case. */
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join, resolve} from 'node:path';
import {fileURLToPath} from 'node:url';
import {ExecutorStandIn} from './executor.mjs';
import {call, listen} from './http.mjs';
import {StoreStandIn} from './store.mjs';

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');
const HOST = 'jobs.example';
const ZONES = ['zone-a', 'zone-b', 'zone-c'];

/** Bounds of `asantewaa-rounds`. */
export const BOUNDS = {
  SeedLagS: 3, AddrReuseS: 2, ContactMs: 3000, AckMs: 4000, SyncS: 4, DrainMs: 2000,
  GraceS: 6, LossSlackMs: 200, ConfigApplyMs: 2000, BackMs: 250, MaxStretchMs: 5000,
  ColdOver: 1.5, ColdSlack: 5, EvacuateMs: 5000, RecoveryS: 12, HoldMaxMs: 10000,
  GraceStopMs: 400, GangWaitMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250,
  finish_s: 14, status_s: 120, RemoteFactor: 1.5, CheckpointS: 2, RestoreMs: 600,
  NoticeMs: 4500, MigrateS: 1.5, MaintenanceS: 2, RequireFence: false, LeaseMs: 3000,
  ThawMs: 300, PaceMs: 100, HarmMs: 4000,
};

export const pause = millis => new Promise(resolve => setTimeout(resolve, millis));

export class Deployment {
  processes = [];
  executors = [];
  lines = [];
  stops = [];
  /** Members of gangs on all executors. */
  gangs = new Map();

  /** `folder` is the folder of the case. */
  constructor(folder) {
    this.folder = folder;
    this.isTroubled = process.env.TROUBLE !== '0';
    this.startedAt = performance.now();
    this.temporary = mkdtempSync(join(tmpdir(), 'review-2-'));
    this.store = new StoreStandIn();
    this.record(`TROUBLE=${this.isTroubled ? 1 : 0}`);
  }

  get now() {
    return performance.now() - this.startedAt;
  }

  record(text) {
    this.lines.push(`${(this.now / 1000).toFixed(3).padStart(8)}  ${text}`);
    if (process.env.SHOW) console.log(this.lines.at(-1));
  }

  /**
   * `executors` executors with an agent each, and `entries` entries; `queues`
   * are rows of the configuration.
   */
  async start({entries = 1, executors = 2, queues, behave, cpu = 16_000, memory = 64_000}) {
    // Each test gets addresses of its own in the loopback range.
    const block = 1 + (process.pid % 250);
    await this.store.listen(`127.${block}.0.1`);
    this.queues = queues;
    this.configure(10);
    this.entries = [];
    for (let number = 1; number <= entries; number++) {
      const name = `front-${ZONES[(number - 1) % 3]}-${number}`;
      const Ip = `127.${block}.1.${number}`;
      const Listen = {Front: await freeAddress(Ip), Ready: await freeAddress(Ip)};
      const settings = await this.settings({name, Ip, zone: number - 1, Listen, isFront: true});
      this.entries.push(this.launch('entry', name, settings, {front: Listen.Front, ready: Listen.Ready}));
    }
    for (let number = 1; number <= executors; number++) {
      const name = `side-${ZONES[(number - 1) % 3]}-${number}`;
      const Ip = `127.${block}.2.${number}`;
      const Listen = {Control: await freeAddress(Ip)};
      const settings = await this.settings({name, Ip, zone: number - 1, Listen, isFront: false});
      const agent = this.launch('agent', name, settings, {});
      const executor = new ExecutorStandIn({
        id: `i-${number}`, host: Ip, service: 'rounds', zone: ZONES[(number - 1) % 3],
        rack: `r${(number - 1) % 3}-1`, cpu, memory, bounds: BOUNDS, behave,
        record: text => this.record(text), gangs: this.gangs,
      });
      executor.agent = agent;
      this.executors.push(executor);
      await executor.start(Listen.Control);
    }
    await this.waitUntilServing();
  }

  configure(Version, Routes = this.queues) {
    const Services = [{Name: 'rounds', RejectsOverload: false}];
    this.store.operatorPut('op/config', {
      Version, Routes: Routes.map(route => ({Host: HOST, Service: 'rounds', ...route})),
      Services, Limits: {MaxHeaderBytes: 16384, MaxBodyBytes: 262144},
    });
  }

  async settings({name, Ip, zone, Listen, isFront}) {
    const port = Number((await freeAddress(Ip)).split(':')[1]);
    return {
      NodeName: name, Role: isFront ? 'entry' : 'agent',
      MachineClass: isFront ? 'front' : 'side', Serves: [isFront ? 'front' : 'side'],
      Ip, Zone: ZONES[zone % 3], Region: 'region', PortRange: [port, port + 15], Seeds: [],
      Bootstrap: true, FaultCounted: isFront, Discovery: 'local', EntryKind: 'vip',
      HeartbeatMs: 1500,
      Policies: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'places', 'platform', 'advice', 'upkeep', 'sharing'],
      ControlMode: 'call', Zones: Object.fromEntries(ZONES.map(each => [each, 'region'])),
      Listen, Service: isFront ? '' : 'rounds',
      Limits: {CpuShare: isFront ? 0.675 : 0.405, Cores: 1, MemoryMb: isFront ? 350 : 218, MaxFds: 4100, LinkMbps: 1000, DiskMb: 0},
      FaultTolerance: {Machines: 2, Zones: 1, Regions: 0}, Bounds: BOUNDS,
      platform: {Address: this.store.address, form: 'kv', WritesPerS: 400, ReadsPerS: 2000, RetentionS: 20, ValueBytes: 1048576, TtlMinMs: 1000},
    };
  }

  launch(role, name, settings, more) {
    if (settings.Service === '') delete settings.Service;
    const template = readFileSync(join(ROOT, 'deploy/settings.json.template'), 'utf8');
    const file = join(this.temporary, `${name}.json`);
    writeFileSync(file, template.replace('{{.|json}}', () => JSON.stringify(settings)));
    const program = {role, name, file, ...more};
    this.startProgram(program);
    this.processes.push(program);
    return program;
  }

  startProgram(program) {
    const command = runCommand(program.role).split(' ');
    const {PATH, HOME, LANG} = process.env;
    program.child = spawn(command[0], command.slice(1), {
      cwd: ROOT,
      env: {PATH, HOME, LANG, BURDOCKMOOR_CONFIG: program.file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const {child} = program;
    program.isRunning = true;
    child.on('exit', (code, signal) => {
      program.isRunning = false;
      if (!this.isStopping) this.record(`${program.name} ends (${code ?? signal})`);
    });
    program.log ??= [];
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', data => program.log.push(String(data)));
    }
    this.record(`${program.name} is started`);
  }

  async waitUntilServing() {
    const deadline = this.now + 30_000;
    for (;;) {
      const answers = await Promise.all(
        this.entries.map(({ready}) => call(ready, 'GET', '/-/ready', {timeoutMillis: 500})),
      );
      const areHeld = this.executors.every(executor => executor.leaseEndsAt > 0 || executor.token > 0);
      if (areHeld && answers.every(({status}) => status === 200)) break;
      if (this.now > deadline) throw new Error('the deployment does not serve');
      await pause(100);
    }
    // Workers join and the pool gets its owner.
    await pause(2_500);
    this.record('the deployment serves');
  }

  /** A call of a requester; the answer goes to the record. */
  async request(method, path, {body, entry = 0, timeoutMillis = 3_000, quiet = false} = {}) {
    const sentAt = this.now;
    if (!quiet) this.record(`requester sends ${method} ${path} to ${this.entries[entry].name}`);
    const answer = await call(this.entries[entry].front, method, path, {
      body, timeoutMillis, headers: {host: HOST, 'x-deadline-ms': String(timeoutMillis)},
    });
    if (!quiet) {
      this.record(`requester gets ${answer.status || 'no answer'} ${answer.body} for ${method} ${path} after ${Math.round(this.now - sentAt)} ms`);
    }
    return answer;
  }

  async stop() {
    this.isStopping = true;
    for (const {child} of this.processes) child.kill('SIGKILL');
    for (const executor of this.executors) executor.close();
    this.store.close();
    for (const stop of this.stops) stop();
    rmSync(this.temporary, {recursive: true, force: true});
  }

  /** Writes the record and ends the test; `broken` is a list of what was seen. */
  async finish(rule, broken) {
    for (const text of broken) this.record(`BROKEN ${rule}: ${text}`);
    if (broken.length === 0) this.record(`HELD ${rule}`);
    const dump = process.env.LOGS;
    if (dump) for (const {name, log} of this.processes) writeFileSync(join(dump, `${name}.log`), log.join(''));
    await this.stop();
    writeFileSync(join(this.folder, 'record.txt'), `${this.lines.join('\n')}\n`);
    process.exit(broken.length > 0 ? 1 : 0);
  }
}

/** Runs a case; one that can't run ends with 2. */
export async function runCase(moduleUrl, play) {
  const deployment = new Deployment(dirname(fileURLToPath(moduleUrl)));
  const giveUp = async error => {
    deployment.record(`could not run: ${error.stack}`);
    await deployment.stop();
    writeFileSync(join(deployment.folder, 'record.txt'), `${deployment.lines.join('\n')}\n`);
    console.error(error.message);
    process.exit(2);
  };
  setTimeout(() => giveUp(new Error('the case takes too long')), 115_000).unref();
  for (const signal of ['SIGTERM', 'SIGINT']) {
    process.on(signal, () => giveUp(new Error(`ended by ${signal}`)));
  }
  try {
    await play(deployment);
  } catch (error) {
    await giveUp(error);
  }
}

/** Returns the command of a role in the deploy file. */
function runCommand(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.slice(text.indexOf(`[roles.${role}]`));
  return /^run = "(.*)"$/m.exec(section)[1];
}

/** A free port at the host. */
async function freeAddress(host) {
  const server = createServer();
  const port = await listen(server, host);
  await new Promise(resolve => server.close(resolve));
  return `${host}:${port}`;
}

let lastId = 0;
/** A job's id: 16 hexadecimal digits. */
export function jobId(name) {
  const salt = Math.floor(Math.random() * 2 ** 32).toString(16).padStart(8, '0');
  return `${salt}${name.toString(16).padStart(4, '0')}${(++lastId).toString(16).padStart(4, '0')}`;
}
