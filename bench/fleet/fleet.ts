import {mkdirSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {FleetProcess} from './child_process.js';
import type {ProcessEnd} from './child_process.js';
import {EntryApi} from './entry_api.js';
import {FleetAddresses} from './fleet_layout.js';
import type {FleetLayout} from './fleet_layout.js';
import {FleetRecords} from './fleet_records.js';
import {agentSettings, entrySettings} from './fleet_settings.js';
import {findFreeAddresses} from './free_ports.js';
import {waitUntil} from './wait_until.js';

const BUILD_FOLDER = fileURLToPath(new URL('../../', import.meta.url));
const WORKER_SUFFIX = '-worker';
const DAEMON = 'burdockmoord.cjs';
const ADDRESSES_OF_ENTRY = 2;
const ADDRESSES_OF_VM = 4;
const HEALTHY_DEADLINE_MILLIS = 60_000;
const STOP_DEADLINE_MILLIS = 25_000;

export interface FleetOptions {
  readonly layout: FleetLayout;
  /** Called with what happens, for people. */
  readonly onProgress?: (text: string) => void;
}

/** A fleet of separate processes on loopback, with stand-ins of the platform. */
export class Fleet {
  readonly folder = mkdtempSync(path.join(tmpdir(), 'burdockmoor-fleet-'));
  readonly records: FleetRecords;
  private readonly processes = new Map<string, FleetProcess>();

  private constructor(
    readonly layout: FleetLayout,
    readonly addresses: FleetAddresses,
    private readonly report: (text: string) => void,
  ) {
    for (const name of ['settings', 'logs', 'records']) {
      mkdirSync(path.join(this.folder, name));
    }
    const vms = layout.vms.map(vm => vm.name);
    this.records = new FleetRecords(path.join(this.folder, 'records'), vms);
    this.addStore();
    for (const vm of layout.vms) this.addVm(vm.name);
    for (const entry of layout.entries) this.addEntry(entry.name);
  }

  static async create(options: FleetOptions): Promise<Fleet> {
    const {layout, onProgress = () => {}} = options;
    const count =
      1 +
      layout.entries.length * ADDRESSES_OF_ENTRY +
      layout.vms.length * ADDRESSES_OF_VM;
    const addresses = new FleetAddresses(await findFreeAddresses(count));
    return new Fleet(layout, addresses, onProgress);
  }

  /** The processes' names: store, entry-1, vm-1, vm-1-worker and so on. */
  names(): string[] {
    return [...this.processes.keys()];
  }

  process(name: string): FleetProcess {
    const found = this.processes.get(name);
    if (!found) throw new Error(`the fleet has no process ${name}`);
    return found;
  }

  entry(name: string): EntryApi {
    return new EntryApi(this.addresses.of(name, 'callers'));
  }

  entries(): EntryApi[] {
    return this.layout.entries.map(entry => this.entry(entry.name));
  }

  /** Starts all processes and waits until each entry sees all VMs. */
  async start(): Promise<void> {
    for (const [name, process] of this.processes) {
      process.start();
      this.report(`started ${name}`);
    }
    await this.waitUntilHealthy();
  }

  /** Waits until each entry hears all VMs and their executors. */
  async waitUntilHealthy(): Promise<void> {
    for (const entry of this.layout.entries) {
      await this.waitUntilEntryHealthy(entry.name);
    }
  }

  /** Stops one process gracefully. */
  async stop(name: string): Promise<ProcessEnd> {
    const process = this.process(name);
    process.signal('SIGTERM');
    const end = await this.awaitEnd(name);
    this.report(`stopped ${name} (${describeEnd(end)})`);
    return end;
  }

  /** Ends a process without notice. */
  async kill(name: string): Promise<void> {
    this.process(name).signal('SIGKILL');
    await this.awaitEnd(name);
    if (name.endsWith(WORKER_SUFFIX)) {
      this.records.noteWorkerKilled(name.slice(0, -WORKER_SUFFIX.length));
    }
    this.report(`killed ${name}`);
  }

  restart(name: string): void {
    this.process(name).start();
    this.report(`started ${name} again`);
  }

  /** Tells a stand-in what goes wrong from now on, or another order. */
  async control(name: string, order: string, value = {}): Promise<void> {
    await this.standIn(name).post(`/control/${order}`, value);
  }

  /** Stops the agents, the entries, then the platform; names with exits. */
  async stopAll(): Promise<ReadonlyMap<string, ProcessEnd>> {
    const ends = new Map<string, ProcessEnd>();
    const {vms, entries} = this.layout;
    const groups = [
      vms.map(vm => vm.name),
      entries.map(entry => entry.name),
      vms.flatMap(vm => [`${vm.name}-executor`, `${vm.name}-worker`]),
      ['store'],
    ];
    for (const group of groups) {
      const running = group.filter(name => this.process(name).running);
      const stopped = await Promise.all(running.map(name => this.stop(name)));
      for (const [index, name] of running.entries()) {
        ends.set(name, stopped[index]);
      }
    }
    return ends;
  }

  /** Ends whatever still runs and removes the folder unless it is kept. */
  async dispose(options: {keepFolder?: boolean} = {}): Promise<void> {
    for (const [name, process] of this.processes) {
      if (!process.running) continue;
      process.signal('SIGKILL');
      await this.awaitEnd(name);
    }
    if (options.keepFolder) return;
    rmSync(this.folder, {recursive: true, force: true});
  }

  private standIn(name: string): EntryApi {
    const [, vm, kind] = /^(?:(.+)-(worker|executor)|store)$/.exec(name) ?? [];
    return new EntryApi(this.addresses.of(vm ?? 'store', kind));
  }

  private async awaitEnd(name: string): Promise<ProcessEnd> {
    const process = this.process(name);
    return waitUntil(
      `the end of ${name}`,
      () => (process.running ? undefined : process.end()),
      {deadlineMillis: STOP_DEADLINE_MILLIS},
    );
  }

  private async waitUntilEntryHealthy(name: string): Promise<void> {
    const api = this.entry(name);
    const wanted = this.layout.vms.length;
    const healthy = async () => {
      const vms = await api.vms();
      const upstreams = await api.upstreams(this.layout.service);
      const ready = vms.filter(vm => !vm.recovering && !vm.stopping);
      const usable = upstreams.filter(upstream => !upstream.unavailable);
      if (ready.length >= wanted && usable.length >= wanted) return true;
      throw new Error(
        `${ready.length} VMs and ${usable.length} upstreams of ${wanted}`,
      );
    };
    await waitUntil(`${name} sees the whole fleet`, healthy, {
      deadlineMillis: HEALTHY_DEADLINE_MILLIS,
    });
  }

  private addStore(): void {
    const journal = path.join(this.folder, 'records', 'store.journal');
    this.addStandIn('store', 'store_main.js', this.addresses.of('store'), [
      '--journal',
      journal,
    ]);
  }

  private addVm(name: string): void {
    const vm = this.layout.vms.find(each => each.name === name)!;
    const worker = this.addresses.of(name, 'worker');
    this.addStandIn(`${name}-worker`, 'worker_main.js', worker, [
      '--id',
      name,
      '--records',
      this.records.workerFile(name),
      '--milliprocessors',
      String(vm.milliprocessors),
      '--memory-megabytes',
      String(vm.memoryMegabytes),
    ]);
    const executor = this.addresses.of(name, 'executor');
    this.addStandIn(`${name}-executor`, 'executor_main.js', executor, [
      '--id',
      name,
      '--runs',
      this.records.executorFile(name),
      '--service',
      this.layout.service,
      '--worker',
      worker,
    ]);
    const settings = agentSettings(this.layout, vm, this.addresses);
    this.addDaemon(name, 'agent', settings);
  }

  private addEntry(name: string): void {
    const entry = this.layout.entries.find(each => each.name === name)!;
    const settings = entrySettings(this.layout, entry, this.addresses);
    this.addDaemon(name, 'entry', settings);
  }

  private addStandIn(
    name: string,
    main: string,
    address: string,
    words: readonly string[],
  ): void {
    const file = `tests/stand_ins/${main}`;
    this.add(name, file, ['--listen', address, ...words]);
  }

  private addDaemon(name: string, role: string, settings: string): void {
    const file = path.join(this.folder, 'settings', `${name}.ini`);
    writeFileSync(file, settings);
    this.add(name, DAEMON, [role, '--settings', file]);
  }

  private add(name: string, file: string, words: readonly string[]): void {
    const process = new FleetProcess({
      name,
      file: path.join(BUILD_FOLDER, file),
      words,
      logFile: path.join(this.folder, 'logs', `${name}.log`),
    });
    this.processes.set(name, process);
  }
}

function describeEnd(end: ProcessEnd): string {
  return end.signal ? `by ${end.signal}` : `exit code ${end.code}`;
}
