import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {FleetProcess} from '../fleet/child_process.js';
import {EntryApi} from '../fleet/entry_api.js';
import {findFreeAddresses} from '../fleet/free_ports.js';
import {waitUntil} from '../fleet/wait_until.js';
import {CountingRelay} from './counting_relay.js';
import {readProcessUsage} from './process_usage.js';
import type {ProcessUsage} from './process_usage.js';

const BUILD_FOLDER = fileURLToPath(new URL('../../', import.meta.url));
const DAEMON = 'burdockmoord.cjs';
const PEERS = 'bench/footprint/simulated_agents_main.js';
const STAND_INS = 'tests/stand_ins';
const READY_MILLIS = 20_000;
const POLL_MILLIS = 200;
const DEFAULT_WRITES_PER_SECOND = 200;
/** What one of six entries owns of the default number of shards. */
const SHARDS_OF_ONE_IN_SIX = 2;

/** All counters at one moment; they only grow. */
export interface Counters {
  readonly atMillis: number;
  readonly entry: ProcessUsage;
  readonly agent: ProcessUsage;
  /** Between all agents and the entry, heartbeats and reports. */
  readonly agentBytes: number;
  /** Between the entry and the agents' servers: starts and stops. */
  readonly startBytes: number;
  readonly storeBytes: number;
  /** Calls by path. */
  readonly storeCalls: Readonly<Record<string, number>>;
  /** Answered to the light peers. */
  readonly heartbeats: number;
  /** Of tasks, on the light peers and on the agent of the daemon. */
  readonly starts: number;
}

interface PeerCounts {
  readonly heartbeats: number;
  readonly starts: number;
}

/** One entry and one agent of the daemon among stand-ins and light peers. */
export class FootprintFleet {
  private readonly folder = mkdtempSync(
    path.join(tmpdir(), 'burdockmoor-footprint-'),
  );
  private readonly processes = new Map<string, FleetProcess>();
  private readonly relays: CountingRelay[] = [];
  private readonly startRelays: CountingRelay[] = [];
  private simulated = 0;

  private constructor(
    readonly api: EntryApi,
    private readonly store: EntryApi,
    private readonly entryRelay: CountingRelay,
    private readonly storeRelay: CountingRelay,
    private readonly entryAddress: string,
  ) {
    this.relays.push(entryRelay, storeRelay);
  }

  static async start(
    options: {writesPerSecond?: number} = {},
  ): Promise<FootprintFleet> {
    const {writesPerSecond = DEFAULT_WRITES_PER_SECOND} = options;
    const [store, callers, processes, agent, worker, executor] =
      await findFreeAddresses(6);
    const storeRelay = new CountingRelay(store);
    const entryRelay = new CountingRelay(processes);
    const storeAddress = await storeRelay.listen();
    const entryAddress = await entryRelay.listen();
    const fleet = new FootprintFleet(
      new EntryApi(callers),
      new EntryApi(store),
      entryRelay,
      storeRelay,
      entryAddress,
    );
    const agentRelay = await fleet.addStartRelay(agent);
    fleet.run('store', `${STAND_INS}/store_main.js`, ['--listen', store]);
    fleet.run('worker', `${STAND_INS}/worker_main.js`, [
      '--listen',
      worker,
      '--id',
      'agent-1',
      '--records',
      fleet.recordsFile,
    ]);
    fleet.run('executor', `${STAND_INS}/executor_main.js`, [
      '--listen',
      executor,
      '--service',
      'rounds',
    ]);
    fleet.runDaemon('entry', [
      '[process]',
      'id = entry-1',
      'failure_domain = domain-1',
      'region = region-1',
      '[listen]',
      `callers = ${callers}`,
      `processes = ${processes}`,
      '[advertise]',
      `processes = ${entryAddress}`,
      '[store]',
      `endpoints = http://${storeAddress}`,
      `writes_per_second = ${writesPerSecond}`,
      '[shards]',
      `count = ${SHARDS_OF_ONE_IN_SIX}`,
    ]);
    fleet.runDaemon('agent', [
      '[process]',
      'id = agent-1',
      'failure_domain = domain-1',
      'region = region-1',
      'rack = rack-1',
      '[listen]',
      `processes = ${agent}`,
      '[advertise]',
      `processes = ${agentRelay}`,
      '[entries]',
      `addresses = ${entryAddress}`,
      '[worker]',
      `address = http://${worker}`,
      '[executor]',
      `address = http://${executor}`,
      'service = rounds',
      'team = asantewaa',
      'slots = 8',
      'connections = 64',
    ]);
    await fleet.awaitVms(1);
    return fleet;
  }

  /** Adds light agents in one further process. */
  async addSimulatedAgents(count: number): Promise<void> {
    const [listen] = await findFreeAddresses(1);
    const advertise = await this.addStartRelay(listen);
    const name = `peers-${this.simulated}`;
    this.run(name, PEERS, [
      '--entry',
      this.entryAddress,
      '--listen',
      listen,
      '--advertise',
      advertise,
      '--first',
      String(this.simulated),
      '--count',
      String(count),
    ]);
    this.simulated += count;
    await this.awaitVms(1 + this.simulated);
  }

  /** Ends the entry and the agent and starts them again. */
  async restartDaemons(): Promise<void> {
    for (const role of ['entry', 'agent']) {
      const process = this.processes.get(role)!;
      process.signal('SIGTERM');
      await process.end();
      process.start();
    }
    await this.awaitVms(1 + this.simulated);
  }

  async counters(): Promise<Counters> {
    const {counts} = await this.store.post<{
      counts: Readonly<Record<string, number>>;
    }>('/control/counts');
    const names = [...this.processes.keys()];
    const peers = names
      .filter(name => name.startsWith('peers'))
      .map(name => this.countsOf(name));
    return {
      atMillis: performance.now(),
      entry: this.usage('entry'),
      agent: this.usage('agent'),
      agentBytes: this.entryRelay.bytes,
      startBytes: sum(this.startRelays.map(relay => relay.bytes)),
      storeBytes: this.storeRelay.bytes,
      storeCalls: counts,
      heartbeats: sum(peers.map(peer => peer.heartbeats)),
      starts: sum(peers.map(peer => peer.starts)) + this.startsOnWorker(),
    };
  }

  async close(): Promise<void> {
    for (const process of this.processes.values()) process.signal('SIGKILL');
    for (const process of this.processes.values()) await process.end();
    for (const relay of this.relays) relay.close();
    rmSync(this.folder, {recursive: true, force: true});
  }

  private async addStartRelay(target: string): Promise<string> {
    const relay = new CountingRelay(target);
    this.relays.push(relay);
    this.startRelays.push(relay);
    return relay.listen();
  }

  private async awaitVms(count: number): Promise<void> {
    const ready = async () => {
      const vms = await this.api.vms();
      const usable = vms.filter(vm => !vm.recovering).length;
      if (usable >= count) return true;
      throw new Error(`${usable} of ${count} VMs`);
    };
    await waitUntil(`the entry hears ${count} VMs`, ready, {
      deadlineMillis: READY_MILLIS,
      pollMillis: POLL_MILLIS,
    });
  }

  private usage(name: string): ProcessUsage {
    return readProcessUsage(this.processes.get(name)!.processId!);
  }

  /** What the peers of a process printed last. */
  private countsOf(name: string): PeerCounts {
    const lines = readFileSync(this.logFile(name), 'utf8').split('\n');
    const last = lines.findLast(line => line.startsWith('{"heartbeats"'));
    if (!last) return {heartbeats: 0, starts: 0};
    return JSON.parse(last) as PeerCounts;
  }

  private startsOnWorker(): number {
    const text = readFileSync(this.recordsFile, 'utf8');
    return text.split('\n').filter(line => line.includes('"type":"start"'))
      .length;
  }

  private get recordsFile(): string {
    return path.join(this.folder, 'worker.records');
  }

  private runDaemon(role: string, lines: readonly string[]): void {
    const file = path.join(this.folder, `${role}.ini`);
    writeFileSync(file, `${lines.join('\n')}\n`);
    this.run(role, DAEMON, [role, '--settings', file]);
  }

  private run(name: string, file: string, words: readonly string[]): void {
    const process = new FleetProcess({
      name,
      file: path.join(BUILD_FOLDER, file),
      words,
      logFile: this.logFile(name),
    });
    this.processes.set(name, process);
    process.start();
  }

  private logFile(name: string): string {
    return path.join(this.folder, `${name}.log`);
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
