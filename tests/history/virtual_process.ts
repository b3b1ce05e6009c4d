import type {Logger} from '../../src/observability/logger.js';
import type {Random} from '../../src/utilities/random.js';
import type {VirtualClock} from '../../src/utilities/virtual_clock.js';
import type {History} from './history.js';
import {ProcessClock} from './process_clock.js';
import type {StepHooks, StepPlace} from './step_hooks.js';
import type {NetworkNode, VirtualNetwork} from './virtual_network.js';

export interface VirtualProcessOptions {
  readonly id: string;
  readonly failureDomain: string;
  readonly clock: VirtualClock;
  readonly network: VirtualNetwork;
  readonly history: History;
  readonly hooks: StepHooks;
  readonly random: Random;
  readonly logger: Logger;
}

/** A process that is started, killed and shut down, and seen to be. */
export abstract class VirtualProcess<
  Options extends VirtualProcessOptions = VirtualProcessOptions,
> {
  readonly address: string;
  protected run = 0;
  private processClock!: ProcessClock;
  private networkNode!: NetworkNode;

  constructor(readonly options: Options) {
    this.address = `${options.id}:1`;
  }

  get alive(): boolean {
    return !this.processClock.dead;
  }

  get clock(): ProcessClock {
    return this.processClock;
  }

  /** Starts a new run of the process. */
  abstract start(): void;

  kill(): void {
    if (this.alive) this.end();
  }

  /** Shuts the process down as planned. */
  async shutDown(): Promise<void> {
    const {id, history, hooks} = this.options;
    const clock = this.processClock;
    const place = this.place();
    const observation = {process: id, vm: place.agent ?? ''};
    history.record({type: 'shutdownBegin', ...observation});
    hooks.reached('shutdown.begin', place);
    if (clock.dead) return;
    await this.stop();
    if (clock.dead) return;
    history.record({type: 'shutdownEnd', ...observation});
    this.end();
  }

  /** Who the process is, as steps name it. */
  protected abstract place(): StepPlace;

  /** Ends once the process has stopped gracefully. */
  protected abstract stop(): Promise<void>;

  protected node(): NetworkNode {
    return this.networkNode;
  }

  protected beginRun(): ProcessClock {
    const {id, clock, history} = this.options;
    this.processClock = new ProcessClock(clock);
    this.run++;
    history.record({type: 'processUp', process: id, run: this.run});
    return this.processClock;
  }

  protected attach(handlers: object): void {
    const {address, clock} = this;
    const {id, network} = this.options;
    const isEntry = this.place().entry !== undefined;
    this.networkNode = {id, address, clock, handlers, isEntry};
    network.attach(this.networkNode);
  }

  private end(): void {
    const {id, history} = this.options;
    this.processClock.kill();
    history.record({type: 'processDown', process: id, run: this.run});
  }
}
