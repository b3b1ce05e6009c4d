import {SilentLogger} from '../../src/observability/logger.js';
import type {Logger} from '../../src/observability/logger.js';
import {Random} from '../../src/utilities/random.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {StoreTable} from '../stand_ins/store_table.js';
import {History} from './history.js';
import {StoreObserver} from './store_observer.js';
import type {StepHooks} from './step_hooks.js';
import {VirtualEntry} from './virtual_entry.js';
import {VirtualNetwork} from './virtual_network.js';
import {VirtualVm} from './virtual_vm.js';

export const FAILURE_DOMAINS = ['sfax', 'gabes', 'mahres'] as const;
const VM_COUNT = 4;
const SHARD_COUNT = 3;
const OUTAGE_GRACE_MILLIS = 20_000;
const CAPACITY = {
  milliprocessors: 4_000,
  memoryMegabytes: 8_000,
  accelerators: 1,
};

/** The real process classes on a virtual clock, network and platform. */
export class VirtualFleet {
  readonly clock = new VirtualClock();
  readonly history = new History(() => this.clock.now());
  readonly random: Random;
  readonly network: VirtualNetwork;
  readonly entries: VirtualEntry[] = [];
  readonly vms: VirtualVm[] = [];

  constructor(
    seed: number,
    hooks: StepHooks,
    logger: Logger = new SilentLogger(),
  ) {
    this.random = new Random(seed);
    this.network = new VirtualNetwork(this.clock, hooks);
    const observer = new StoreObserver(this.history);
    const table = new StoreTable(this.clock, {
      journal: entry => observer.observe(entry),
    });
    const {clock, network, history, random} = this;
    const shared = {clock, network, history, random, hooks, logger};
    for (const [index, failureDomain] of FAILURE_DOMAINS.entries()) {
      this.entries.push(
        new VirtualEntry({
          ...shared,
          id: `entry-${index + 1}`,
          failureDomain,
          shardCount: SHARD_COUNT,
          table,
          outageGraceMillis: OUTAGE_GRACE_MILLIS,
        }),
      );
    }
    for (let index = 0; index < VM_COUNT; index++) {
      this.vms.push(
        new VirtualVm({
          ...shared,
          id: `vm-${index + 1}`,
          failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length],
          rack: `rack-${index}`,
          capacity: CAPACITY,
          entryAddresses: this.entries.map(entry => entry.address),
        }),
      );
    }
  }

  /** An entry that lives, as the platform's balancer picks it. */
  pickEntry(): VirtualEntry {
    const living = this.entries.filter(entry => entry.alive);
    const choice = living.length > 0 ? living : this.entries;
    return choice[this.random.below(choice.length)];
  }

  runUntil(untilMillis: number): Promise<void> {
    return this.clock.settleUntil(untilMillis);
  }

  /** Ends all processes, so that nothing of the run is left behind. */
  dispose(): void {
    for (const process of [...this.entries, ...this.vms]) process.kill();
  }
}
