import type {MemoryStoreFaults} from '../stand_ins/memory_store.js';
import {AnswerFault} from './answer_faults.js';
import type {AnswerFaults} from './answer_faults.js';
import type {StepPlace} from './step_hooks.js';
import type {VirtualEntry} from './virtual_entry.js';
import type {VirtualFleet} from './virtual_fleet.js';
import type {VirtualProcess} from './virtual_process.js';
import type {VirtualVm} from './virtual_vm.js';
import type {Workload} from './workload.js';

const RESTART_AFTER_MILLIS = 2_000;
const LONG_RESTART_AFTER_MILLIS = 30_000;
const SHORT_FREEZE_MILLIS = 2_000;
const LONG_FREEZE_MILLIS = 40_000;
const CUT_MILLIS = 25_000;
const STORE_DOWN_MILLIS = 12_000;
const STORE_SLOW_MILLIS = 15_000;
const STORE_EXTRA_DELAY_MILLIS = 900;
const BROKEN_MILLIS = 10_000;
const RACING_OPERATORS = 6;
const WAVE_JOBS = 200;
/** Some jobs of the wave run by then, and are cancelled with the rest. */
const WAVE_MILLIS = 1_500;

/** What a fault is done to. */
export interface FaultTarget {
  readonly fleet: VirtualFleet;
  readonly workload: Workload;
  readonly entry: VirtualEntry;
  readonly vm: VirtualVm;
}

/** A fault that has begun, and how it ends. */
interface Begun {
  readonly lastsMillis: number;
  readonly process: string;
  readonly end: () => void;
}

type Inject = (target: FaultTarget) => Begun;

export const FAULTS: Readonly<Record<string, Inject>> = {
  'entry killed': ({entry}) => kill(entry, RESTART_AFTER_MILLIS),
  'entry killed for long': ({entry}) => kill(entry, LONG_RESTART_AFTER_MILLIS),
  'agent killed': ({vm}) => kill(vm, RESTART_AFTER_MILLIS),
  'agent killed for long': ({vm}) => kill(vm, LONG_RESTART_AFTER_MILLIS),
  'entry frozen short of its lease': ({entry}) =>
    freeze(entry, SHORT_FREEZE_MILLIS),
  'entry frozen past its lease': ({entry}) => freeze(entry, LONG_FREEZE_MILLIS),
  'agent frozen short of its lease': ({vm}) => freeze(vm, SHORT_FREEZE_MILLIS),
  'agent frozen past its lease': ({vm}) => freeze(vm, LONG_FREEZE_MILLIS),
  'VM lost': ({vm}) => {
    vm.lose();
    return begun(vm, LONG_RESTART_AFTER_MILLIS, () => vm.replace());
  },
  'entry and agent cut': target =>
    cut(target, bothWays(target.entry, target.vm)),
  'cut from entry to agent': target =>
    cut(target, [pair(target.entry, target.vm)]),
  'cut from agent to entry': target =>
    cut(target, [pair(target.vm, target.entry)]),
  'agent cut from all entries': target =>
    cut(
      target,
      target.fleet.entries.flatMap(entry => bothWays(entry, target.vm)),
    ),
  'entries cut from each other': target =>
    cut(
      target,
      target.fleet.entries
        .filter(entry => entry !== target.entry)
        .flatMap(entry => bothWays(entry, target.entry)),
    ),
  'entry and store cut': ({entry}) =>
    switchOn(entry, entry.store, 'cut', CUT_MILLIS),
  'agent and worker cut': ({vm}) => switchOn(vm, vm.path, 'cut', CUT_MILLIS),
  'connections silent': ({fleet, entry, vm}) => {
    const until = fleet.clock.now();
    for (const name of bothWays(entry, vm)) {
      fleet.network.silentUntil.set(name, until);
    }
    return begun(vm);
  },
  'store down': ({fleet}) =>
    changeStore(fleet, STORE_DOWN_MILLIS, {down: true}, {down: false}),
  'store slow': ({fleet}) => {
    const slow = {delayMillis: STORE_EXTRA_DELAY_MILLIS};
    return changeStore(fleet, STORE_SLOW_MILLIS, slow, {delayMillis: 0});
  },
  'store replies lost': ({entry}) => {
    entry.memory.faults.loseReplies += 2;
    return begun(entry);
  },
  'store calls lost': ({entry}) => {
    entry.memory.faults.loseCalls += 2;
    return begun(entry);
  },
  'executor late': ({vm}) => switchOn(vm, vm.executor, 'late'),
  'executor silent': ({vm}) => switchOn(vm, vm.executor, 'silent'),
  'executor refusing': ({vm}) => switchOn(vm, vm.executor, 'refusing'),
  'worker fails everything': ({vm}) =>
    switchOn(vm, vm.path.machine, 'failsEverything'),
  'executor answers twice': ({vm}) =>
    misdeliver(vm, vm.executor.answers, AnswerFault.TWICE),
  'executor answers crossed': ({vm}) =>
    misdeliver(vm, vm.executor.answers, AnswerFault.CROSSED),
  'worker answers late': ({vm}) =>
    misdeliver(vm, vm.path.answers, AnswerFault.LATE),
  'worker answers twice': ({vm}) =>
    misdeliver(vm, vm.path.answers, AnswerFault.TWICE),
  'worker answers crossed': ({vm}) =>
    misdeliver(vm, vm.path.answers, AnswerFault.CROSSED),
  'operators racing': ({workload}) => {
    workload.raceOperators(RACING_OPERATORS);
    return {lastsMillis: 0, process: 'operators', end: () => {}};
  },
  'cancellation wave': ({workload}) => {
    const end = workload.beginWave(WAVE_JOBS);
    return {lastsMillis: WAVE_MILLIS, process: 'callers', end};
  },
};

export type FaultName = string;

/** The processes that a step is about, with others drawn for what it lacks. */
export function targetOf(workload: Workload, place: StepPlace): FaultTarget {
  const {fleet} = workload;
  const entry = fleet.entries.find(({options}) => options.id === place.entry);
  const vm = fleet.vms.find(({options}) => options.id === place.agent);
  return {
    fleet,
    workload,
    entry: entry ?? fleet.entries[fleet.random.below(fleet.entries.length)],
    vm: vm ?? fleet.vms[fleet.random.below(fleet.vms.length)],
  };
}

function begun(
  {options}: VirtualProcess,
  lastsMillis = 0,
  end = (): void => {},
): Begun {
  return {lastsMillis, process: options.id, end};
}

function kill(process: VirtualProcess, lastsMillis: number): Begun {
  process.kill();
  return begun(process, lastsMillis, () => {
    if (!process.alive) process.start();
  });
}

function freeze(process: VirtualProcess, lastsMillis: number): Begun {
  const {clock} = process;
  clock.freeze();
  return begun(process, lastsMillis, () => clock.thaw());
}

function pair(from: VirtualProcess, to: VirtualProcess): string {
  return `${from.options.id}>${to.options.id}`;
}

function bothWays(one: VirtualProcess, other: VirtualProcess): string[] {
  return [pair(one, other), pair(other, one)];
}

function cut({fleet, entry, vm}: FaultTarget, pairs: readonly string[]): Begun {
  for (const name of pairs) fleet.network.cuts.add(name);
  const end = (): void => {
    for (const name of pairs) fleet.network.cuts.delete(name);
  };
  const process = `${entry.options.id}/${vm.options.id}`;
  return {lastsMillis: CUT_MILLIS, process, end};
}

/** Sets the flag for a while. */
function switchOn<Flag extends string>(
  process: VirtualProcess,
  target: Record<Flag, boolean>,
  flag: Flag,
  lastsMillis = BROKEN_MILLIS,
): Begun {
  target[flag] = true;
  return begun(process, lastsMillis, () => void (target[flag] = false));
}

function misdeliver(
  vm: VirtualVm,
  answers: AnswerFaults,
  fault: AnswerFault,
): Begun {
  answers.fault = fault;
  return begun(vm, BROKEN_MILLIS, () => (answers.fault = undefined));
}

function changeStore(
  fleet: VirtualFleet,
  lastsMillis: number,
  faults: Partial<MemoryStoreFaults>,
  without: Partial<MemoryStoreFaults>,
): Begun {
  const memories = fleet.entries.map(entry => entry.memory);
  const change = (changes: Partial<MemoryStoreFaults>): void => {
    for (const memory of memories) Object.assign(memory.faults, changes);
  };
  change(faults);
  return {lastsMillis, process: 'store', end: () => change(without)};
}
