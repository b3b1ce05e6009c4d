import {EntryProcess} from '../../src/entry/entry_process.js';
import type {ApiResponse} from '../../src/entry/http/api_types.js';
import {decodeSegments} from '../../src/entry/http/api_server.js';
import {Metrics} from '../../src/observability/metrics.js';
import {Random} from '../../src/utilities/random.js';
import {MemoryStore} from '../stand_ins/memory_store.js';
import type {StoreTable} from '../stand_ins/store_table.js';
import type {ProcessClock} from './process_clock.js';
import type {StepPlace} from './step_hooks.js';
import {StepStore} from './step_store.js';
import {VirtualProcess} from './virtual_process.js';
import type {VirtualProcessOptions} from './virtual_process.js';

const STORE_LATENCY_MILLIS = 4;
const CALLER_LATENCY_MILLIS = 1;
const SETTINGS_WATCH_MILLIS = 100;
const CLOSE_GRACE_MILLIS = 5_000;
const BROKEN_CONNECTION: ApiResponse = {
  status: 0,
  headers: [],
  body: new Uint8Array(),
};

export interface VirtualEntryOptions extends VirtualProcessOptions {
  readonly shardCount: number;
  readonly table: StoreTable;
  readonly outageGraceMillis: number;
  readonly peerAddresses?: readonly string[];
}

/** A call of the HTTP API as a caller or operator makes it. */
export interface VirtualCall {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** One entry VM. */
export class VirtualEntry extends VirtualProcess<VirtualEntryOptions> {
  entry!: EntryProcess;
  memory!: MemoryStore;
  store!: StepStore;
  private openCalls = 0;

  constructor(options: VirtualEntryOptions) {
    super(options);
    this.start();
  }

  start(): void {
    const {id, network, hooks, random, logger} = this.options;
    const processClock = this.beginRun();
    this.openCalls = 0;
    this.memory = new MemoryStore({
      clock: processClock,
      table: this.options.table,
      latencyMillis: STORE_LATENCY_MILLIS,
    });
    this.store = new StepStore(id, this.memory, processClock, hooks);
    this.entry = new EntryProcess({
      record: {
        entryId: id,
        processAddress: this.address,
        callerAddress: this.address,
        failureDomain: this.options.failureDomain,
        nonce: `${id}-run-${this.run}`,
        stopping: false,
      },
      shardCount: this.options.shardCount,
      store: this.store.store,
      links: network.linksOf(() => this.node()),
      clock: processClock,
      random: new Random(random.below(2 ** 31)),
      logger,
      metrics: new Metrics(),
      outageGraceMillis: this.options.outageGraceMillis,
      peerAddresses: this.options.peerAddresses,
    });
    this.attach(this.entry);
    void this.entry.start();
    this.watchSettings(-1);
  }

  ownedShards(): number {
    const dump = this.entry.dumpState() as {shards: readonly object[]};
    return dump.shards.length;
  }

  /**
   * Resolves to undefined when the connection is refused, for nothing ran, and
   * to an answer without outcome when it breaks.
   */
  async call(call: VirtualCall): Promise<ApiResponse | undefined> {
    const {clock} = this;
    if (clock.dead) return undefined;
    this.openCalls++;
    const broken = clock.death.then(() => BROKEN_CONNECTION);
    const answer = await Promise.race([this.answer(call, clock), broken]);
    this.openCalls--;
    return answer;
  }

  private async answer(
    call: VirtualCall,
    clock: ProcessClock,
  ): Promise<ApiResponse> {
    await this.pause();
    await clock.resumed();
    const [path] = call.path.split('?', 1);
    const answer = await this.entry.call({
      method: call.method,
      target: call.path,
      segments: decodeSegments(path),
      query: new URLSearchParams(call.path.split('?')[1] ?? ''),
      headers: new Map(Object.entries(call.headers ?? {})),
      body: Buffer.from(call.body ?? ''),
    });
    await clock.resumed();
    await this.pause();
    return answer;
  }

  protected place(): StepPlace {
    return {entry: this.options.id};
  }

  protected async stop(): Promise<void> {
    await this.entry.stop('planned');
    await this.finishCalls();
  }

  /** The HTTP server lets calls in progress end, for a while. */
  private async finishCalls(): Promise<void> {
    const deadline = this.options.clock.now() + CLOSE_GRACE_MILLIS;
    while (this.openCalls > 0 && this.options.clock.now() < deadline) {
      await this.pause();
    }
  }

  private pause(): Promise<void> {
    return new Promise(resolve =>
      this.options.clock.schedule(CALLER_LATENCY_MILLIS, resolve),
    );
  }

  /** Looks at the settings in force often enough to see each change. */
  private watchSettings(last: number): void {
    const {id, history} = this.options;
    const run = this.run;
    const dump = this.entry.dumpState() as {settings: {revision: number}};
    const {revision} = dump.settings;
    if (revision !== last) {
      history.record({type: 'settingsInForce', process: id, run, revision});
    }
    this.clock.schedule(SETTINGS_WATCH_MILLIS, () =>
      this.watchSettings(revision),
    );
  }
}
