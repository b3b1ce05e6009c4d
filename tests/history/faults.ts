import type {StepPlace} from './step_hooks.js';
import type {VirtualEntry} from './virtual_entry.js';
import type {VirtualFleet} from './virtual_fleet.js';
import type {VirtualVm} from './virtual_vm.js';

const RESTART_AFTER_MILLIS = 2_000;
const LONG_RESTART_AFTER_MILLIS = 30_000;
const SHORT_FREEZE_MILLIS = 2_000;
const LONG_FREEZE_MILLIS = 40_000;
const CUT_MILLIS = 25_000;
const STORE_DOWN_MILLIS = 12_000;
const STORE_SLOW_MILLIS = 15_000;
const STORE_EXTRA_DELAY_MILLIS = 900;
const BROKEN_MILLIS = 10_000;

/** What a fault is done to. */
export interface FaultTarget {
  readonly fleet: VirtualFleet;
  readonly entry: VirtualEntry;
  readonly vm: VirtualVm;
}

/** Begins the fault and returns how to end it. */
type Inject = (target: FaultTarget) => {
  readonly lastsMillis: number;
  readonly process: string;
  readonly end: () => void;
};

export const FAULTS: Readonly<Record<string, Inject>> = {
  'entry killed': ({entry}) => killEntry(entry, RESTART_AFTER_MILLIS),
  'entry killed for long': ({entry}) =>
    killEntry(entry, LONG_RESTART_AFTER_MILLIS),
  'agent killed': ({vm}) => killAgent(vm, RESTART_AFTER_MILLIS),
  'agent killed for long': ({vm}) => killAgent(vm, LONG_RESTART_AFTER_MILLIS),
  'entry frozen short of its lease': ({entry}) =>
    freeze(entry, SHORT_FREEZE_MILLIS),
  'entry frozen past its lease': ({entry}) => freeze(entry, LONG_FREEZE_MILLIS),
  'agent frozen short of its lease': ({vm}) => freeze(vm, SHORT_FREEZE_MILLIS),
  'agent frozen past its lease': ({vm}) => freeze(vm, LONG_FREEZE_MILLIS),
  'VM lost': ({vm}) => {
    vm.lose();
    return {
      lastsMillis: LONG_RESTART_AFTER_MILLIS,
      process: vm.options.id,
      end: () => vm.replace(),
    };
  },
  'entry and agent cut': target =>
    cut(target, [
      [target.entry.options.id, target.vm.options.id],
      [target.vm.options.id, target.entry.options.id],
    ]),
  'cut from entry to agent': target =>
    cut(target, [[target.entry.options.id, target.vm.options.id]]),
  'cut from agent to entry': target =>
    cut(target, [[target.vm.options.id, target.entry.options.id]]),
  'agent cut from all entries': target =>
    cut(
      target,
      target.fleet.entries.flatMap(entry => [
        [entry.options.id, target.vm.options.id] as const,
        [target.vm.options.id, entry.options.id] as const,
      ]),
    ),
  'entries cut from each other': target =>
    cut(
      target,
      target.fleet.entries
        .filter(entry => entry !== target.entry)
        .flatMap(entry => [
          [entry.options.id, target.entry.options.id] as const,
          [target.entry.options.id, entry.options.id] as const,
        ]),
    ),
  'entry and store cut': ({entry}) => {
    const {store} = entry;
    store.cut = true;
    return {
      lastsMillis: CUT_MILLIS,
      process: entry.options.id,
      end: () => (store.cut = false),
    };
  },
  'agent and worker cut': ({vm}) => {
    const {path} = vm;
    path.cut = true;
    return {
      lastsMillis: CUT_MILLIS,
      process: vm.options.id,
      end: () => (path.cut = false),
    };
  },
  'connections silent': target => {
    const {fleet, entry, vm} = target;
    const until = fleet.clock.now();
    const {silentUntil} = fleet.network;
    silentUntil.set(`${entry.options.id}>${vm.options.id}`, until);
    silentUntil.set(`${vm.options.id}>${entry.options.id}`, until);
    return {lastsMillis: 0, process: vm.options.id, end: () => {}};
  },
  'store down': ({fleet}) => {
    const memories = fleet.entries.map(entry => entry.memory);
    for (const memory of memories) memory.faults.down = true;
    return {
      lastsMillis: STORE_DOWN_MILLIS,
      process: 'store',
      end: () => {
        for (const memory of memories) memory.faults.down = false;
      },
    };
  },
  'store slow': ({fleet}) => {
    const memories = fleet.entries.map(entry => entry.memory);
    for (const memory of memories) {
      memory.faults.delayMillis = STORE_EXTRA_DELAY_MILLIS;
    }
    return {
      lastsMillis: STORE_SLOW_MILLIS,
      process: 'store',
      end: () => {
        for (const memory of memories) memory.faults.delayMillis = 0;
      },
    };
  },
  'store replies lost': ({entry}) => {
    entry.memory.faults.loseReplies += 2;
    return {lastsMillis: 0, process: entry.options.id, end: () => {}};
  },
  'store calls lost': ({entry}) => {
    entry.memory.faults.loseCalls += 2;
    return {lastsMillis: 0, process: entry.options.id, end: () => {}};
  },
  'executor late': ({vm}) => breakExecutor(vm, 'late'),
  'executor silent': ({vm}) => breakExecutor(vm, 'silent'),
  'executor refusing': ({vm}) => breakExecutor(vm, 'refusing'),
  'worker fails everything': ({vm}) => {
    const {machine} = vm.path;
    machine.failsEverything = true;
    return {
      lastsMillis: BROKEN_MILLIS,
      process: vm.options.id,
      end: () => (machine.failsEverything = false),
    };
  },
};

export type FaultName = string;

/** The processes that a step is about, with others drawn for what it lacks. */
export function targetOf(fleet: VirtualFleet, place: StepPlace): FaultTarget {
  const entry = fleet.entries.find(({options}) => options.id === place.entry);
  const vm = fleet.vms.find(({options}) => options.id === place.agent);
  return {
    fleet,
    entry: entry ?? fleet.entries[fleet.random.below(fleet.entries.length)],
    vm: vm ?? fleet.vms[fleet.random.below(fleet.vms.length)],
  };
}

function killEntry(entry: VirtualEntry, lastsMillis: number) {
  entry.kill();
  return {
    lastsMillis,
    process: entry.options.id,
    end: () => {
      if (!entry.alive) entry.start();
    },
  };
}

function killAgent(vm: VirtualVm, lastsMillis: number) {
  vm.killAgent();
  return {
    lastsMillis,
    process: vm.options.id,
    end: () => {
      if (!vm.alive) vm.startAgent();
    },
  };
}

function freeze(process: VirtualEntry | VirtualVm, lastsMillis: number) {
  const {clock} = process;
  clock.freeze();
  return {
    lastsMillis,
    process: process.options.id,
    end: () => clock.thaw(),
  };
}

function cut(
  {fleet, entry, vm}: FaultTarget,
  pairs: ReadonlyArray<readonly [from: string, to: string]>,
) {
  const names = pairs.map(([from, to]) => `${from}>${to}`);
  for (const name of names) fleet.network.cuts.add(name);
  return {
    lastsMillis: CUT_MILLIS,
    process: `${entry.options.id}/${vm.options.id}`,
    end: () => {
      for (const name of names) fleet.network.cuts.delete(name);
    },
  };
}

function breakExecutor(vm: VirtualVm, how: 'late' | 'silent' | 'refusing') {
  const {executor} = vm;
  executor[how] = true;
  return {
    lastsMillis: BROKEN_MILLIS,
    process: vm.options.id,
    end: () => (executor[how] = false),
  };
}
