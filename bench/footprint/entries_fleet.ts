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
const SIMULATED_AGENTS = 'bench/footprint/simulated_agents_main.js';
const STORE = 'tests/stand_ins/store_main.js';
/** The most that one process of simulated agents takes. */
const AGENTS_A_PROCESS = 200;
const ADDRESSES_OF_ENTRY = 2;
const READY = {deadlineMillis: 60_000, pollMillis: 500};
const SHARDS = 12;
const FLEET_WRITES_PER_SECOND = 200;
const FLEET_READS_PER_SECOND = 800;

/** Counters of one entry at one moment; they only grow. */
export interface EntryCounters {
  readonly usage: ProcessUsage;
  /** Between the agents and the entry: heartbeats and reports. */
  readonly agentBytes: number;
  /** What other entries asked of this one. */
  readonly peerBytes: number;
  /** Between the entry and the agents' servers: starts and stops. */
  readonly startBytes: number;
  readonly storeBytes: number;
  readonly heartbeats: number;
  readonly starts: number;
}

export interface FleetCounters {
  readonly atMillis: number;
  readonly entries: readonly EntryCounters[];
  /** Calls of all entries by path. */
  readonly storeCalls: Readonly<Record<string, number>>;
}

interface CountsLine {
  readonly heartbeats: number;
  readonly starts: number;
}

interface UrgentStartLine {
  readonly urgentJob: string;
  readonly wallTime: number;
}

/** One entry with the relays through which it is reached and reaches others. */
class MeasuredEntry {
  readonly agentNames: string[] = [];
  readonly startRelays: CountingRelay[] = [];

  constructor(
    readonly name: string,
    readonly api: EntryApi,
    readonly agentRelay: CountingRelay,
    readonly agentAddress: string,
    readonly peerRelay: CountingRelay,
    readonly storeRelay: CountingRelay,
  ) {}

  get relays(): CountingRelay[] {
    const {agentRelay, peerRelay, storeRelay, startRelays} = this;
    return [agentRelay, peerRelay, storeRelay, ...startRelays];
  }
}

/**
 * Several entries of the daemon that share the default number of shards and the
 * store's budget, with a stand-in of the store and simulated agents that each
 * report to every entry.
 */
export class EntriesFleet {
  private readonly folder = mkdtempSync(
    path.join(tmpdir(), 'burdockmoor-entries-'),
  );
  private readonly processes = new Map<string, FleetProcess>();
  private readonly entries: MeasuredEntry[] = [];

  private readonly storeAddress: string;

  private constructor(
    private readonly entryCount: number,
    /** Found all at once, so that none is given out twice. */
    private readonly freeAddresses: string[],
  ) {
    this.storeAddress = this.takeAddress();
  }

  /** Starts the store and the entries, with room for so many agents later. */
  static async start(options: {
    entries: number;
    mostAgents: number;
  }): Promise<EntriesFleet> {
    const {entries: entryCount, mostAgents} = options;
    const agentProcesses = Math.ceil(mostAgents / AGENTS_A_PROCESS);
    const addresses = await findFreeAddresses(
      1 + entryCount * (ADDRESSES_OF_ENTRY + agentProcesses),
    );
    const fleet = new EntriesFleet(entryCount, addresses);
    fleet.run('store', STORE, ['--listen', fleet.storeAddress]);
    for (let number = 1; number <= entryCount; number++) {
      await fleet.addEntry(`entry-${number}`);
    }
    await fleet.untilServing();
    return fleet;
  }

  get apis(): EntryApi[] {
    return this.entries.map(entry => entry.api);
  }

  /**
   * Adds simulated agents; each of them reports to all entries. They come in
   * steps, since new agents send a heartbeat a second until they are answered.
   */
  async addSimulatedAgents(count: number): Promise<void> {
    for (const entry of this.entries) {
      for (let first = 0; first < count; first += AGENTS_A_PROCESS) {
        const some = Math.min(AGENTS_A_PROCESS, count - first);
        await this.addAgents(entry, first, some);
        await this.untilHeard(entry, first + some);
      }
    }
  }

  async counters(): Promise<FleetCounters> {
    const {counts} = await new EntryApi(this.storeAddress).post<{
      counts: Readonly<Record<string, number>>;
    }>('/control/counts');
    return {
      atMillis: performance.now(),
      entries: this.entries.map(entry => this.countersOf(entry)),
      storeCalls: counts,
    };
  }

  /** Calendar times of the first urgent start of each job, by its name. */
  urgentStarts(): Map<string, number> {
    const starts = new Map<string, number>();
    for (const name of this.entries.flatMap(entry => entry.agentNames)) {
      const lines = readFileSync(this.logFile(name), 'utf8').split('\n');
      for (const line of lines) {
        if (!line.startsWith('{"urgentJob"')) continue;
        const start = JSON.parse(line) as UrgentStartLine;
        const earlier = starts.get(start.urgentJob) ?? Infinity;
        starts.set(start.urgentJob, Math.min(earlier, start.wallTime));
      }
    }
    return starts;
  }

  async close(): Promise<void> {
    for (const process of this.processes.values()) process.signal('SIGKILL');
    for (const process of this.processes.values()) await process.end();
    for (const entry of this.entries) {
      for (const relay of entry.relays) relay.close();
    }
    rmSync(this.folder, {recursive: true, force: true});
  }

  private async addEntry(name: string): Promise<void> {
    const callers = this.takeAddress();
    const processes = this.takeAddress();
    const agentRelay = new CountingRelay(processes);
    const peerRelay = new CountingRelay(processes);
    const storeRelay = new CountingRelay(this.storeAddress);
    const agentAddress = await agentRelay.listen();
    const entry = new MeasuredEntry(
      name,
      new EntryApi(callers),
      agentRelay,
      agentAddress,
      peerRelay,
      storeRelay,
    );
    this.entries.push(entry);
    this.runEntry(name, [
      '[listen]',
      `callers = ${callers}`,
      `processes = ${processes}`,
      '[advertise]',
      `processes = ${await peerRelay.listen()}`,
      '[store]',
      `endpoints = http://${await storeRelay.listen()}`,
      `writes_per_second = ${this.shareOf(FLEET_WRITES_PER_SECOND)}`,
      `reads_per_second = ${this.shareOf(FLEET_READS_PER_SECOND)}`,
    ]);
  }

  private runEntry(name: string, lines: readonly string[]): void {
    const file = path.join(this.folder, `${name}.ini`);
    const domain = (this.entries.length - 1) % 6;
    const text = [
      '[process]',
      `id = ${name}`,
      `failure_domain = domain-${domain}`,
      'region = region-1',
      '[shards]',
      `count = ${SHARDS}`,
      ...lines,
    ];
    writeFileSync(file, `${text.join('\n')}\n`);
    this.run(name, DAEMON, ['entry', '--settings', file]);
  }

  private async addAgents(
    entry: MeasuredEntry,
    first: number,
    count: number,
  ): Promise<void> {
    const listen = this.takeAddress();
    const relay = new CountingRelay(listen);
    entry.startRelays.push(relay);
    const name = `agents-${first}-of-${entry.name}`;
    entry.agentNames.push(name);
    this.run(name, SIMULATED_AGENTS, [
      '--entry',
      entry.agentAddress,
      '--listen',
      listen,
      '--advertise',
      await relay.listen(),
      '--first',
      String(first),
      '--count',
      String(count),
    ]);
  }

  private countersOf(entry: MeasuredEntry): EntryCounters {
    const counts = entry.agentNames.map(name => this.lastCounts(name));
    const {processId} = this.processes.get(entry.name)!;
    return {
      usage: readProcessUsage(processId!),
      agentBytes: entry.agentRelay.bytes,
      peerBytes: entry.peerRelay.bytes,
      startBytes: sum(entry.startRelays.map(relay => relay.bytes)),
      storeBytes: entry.storeRelay.bytes,
      heartbeats: sum(counts.map(each => each.heartbeats)),
      starts: sum(counts.map(each => each.starts)),
    };
  }

  /** What a process of simulated agents printed last. */
  private lastCounts(name: string): CountsLine {
    const lines = readFileSync(this.logFile(name), 'utf8').split('\n');
    const last = lines.findLast(line => line.startsWith('{"heartbeats"'));
    if (!last) return {heartbeats: 0, starts: 0};
    return JSON.parse(last) as CountsLine;
  }

  private async untilHeard(entry: MeasuredEntry, count: number): Promise<void> {
    const heard = async () => {
      const vms = await entry.api.vms();
      const usable = vms.filter(vm => !vm.recovering).length;
      if (usable >= count) return true;
      throw new Error(`${usable} of ${count} VMs`);
    };
    await waitUntil(`${entry.name} hears ${count} agents`, heard, READY);
  }

  private async untilServing(): Promise<void> {
    for (const {name, api} of this.entries) {
      await waitUntil(`${name} serves`, () => api.vms(), READY);
    }
  }

  private takeAddress(): string {
    const address = this.freeAddresses.pop();
    if (!address) throw new Error('the fleet has no address left');
    return address;
  }

  private shareOf(fleetRate: number): number {
    return Math.floor(fleetRate / this.entryCount);
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
