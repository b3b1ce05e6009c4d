import {Checker, finding, taskKey} from '../history.js';
import type {Finding, HistoryEvent} from '../history.js';
import {isEnd} from './capacity_checker.js';

/** The longest stop, with what it waits for at its end. */
const STOP_MILLIS = 12_000;
/** The lease of tasks in the fleet's runs, and a margin. */
const LEASE_MILLIS = 8_000;

/** What is known of one VM and its agent. */
class VmState {
  readonly tasks = new Map<string, HistoryEvent>();
  readonly requests = new Map<string, HistoryEvent>();
  readonly faults = new Set<string>();
  /** Faults that were on at some time of the stop. */
  disturbances = new Set<string>();
  begun?: HistoryEvent;
  ended?: HistoryEvent;
}

/**
 * Every planned stop is graceful: when the agent has stopped, nothing runs on
 * its VM. Where a fault is on at that very VM work may be left; also then the
 * stop ends in time unless the agent is frozen, nothing starts after it, and
 * tasks left end with their leases unless the agent comes up again.
 */
export class GracefulStopChecker extends Checker {
  readonly point = 'graceful stop';

  protected *judge(events: readonly HistoryEvent[]): Iterable<Finding> {
    const states = new Map<string, VmState>();
    for (const event of events) {
      if (event.type === 'workerUp' && !states.has(event.vm)) {
        states.set(event.vm, new VmState());
      }
      for (const [vm, state] of states) {
        yield* this.overdue(vm, state, event);
        if (event.type === 'faultBegin' && event.process.includes(vm)) {
          state.faults.add(event.fault);
          state.disturbances.add(event.fault);
        }
        if (event.type === 'faultEnd' && event.process.includes(vm)) {
          state.faults.delete(event.fault);
        }
        if ('process' in event && event.process === vm) {
          yield* this.noteProcess(vm, state, event);
        }
        if ('vm' in event && event.vm === vm) {
          yield* this.noteWork(vm, state, event);
        }
      }
    }
  }

  /** What should have ended by now. */
  private *overdue(
    vm: string,
    state: VmState,
    event: HistoryEvent,
  ): Iterable<Finding> {
    const {begun, ended} = state;
    const frozen = [...state.disturbances].some(name => /frozen/.test(name));
    if (begun && event.time - begun.time > STOP_MILLIS && !frozen) {
      yield finding(`The stop of ${vm} did not end in time.`, begun, event);
      state.begun = undefined;
    }
    if (!ended || event.time - ended.time <= LEASE_MILLIS) return;
    for (const [key, start] of state.tasks) {
      yield finding(`${key} ran on ${vm} past its lease.`, start, ended, event);
    }
    state.tasks.clear();
  }

  private *noteProcess(
    vm: string,
    state: VmState,
    event: HistoryEvent,
  ): Iterable<Finding> {
    if (event.type === 'processUp') state.ended = undefined;
    if (event.type === 'processDown') state.begun = undefined;
    if (event.type === 'shutdownBegin') {
      state.begun = event;
      state.disturbances = new Set(state.faults);
    }
    if (event.type !== 'shutdownEnd') return;
    state.begun = undefined;
    state.ended = event;
    const left = [...state.tasks.values(), ...state.requests.values()];
    if (state.disturbances.size > 0 || left.length === 0) return;
    const message = `Work was left on ${vm} when its agent had stopped.`;
    yield finding(message, ...left, event);
    state.tasks.clear();
  }

  private *noteWork(
    vm: string,
    state: VmState,
    event: HistoryEvent,
  ): Iterable<Finding> {
    const {tasks, requests, ended} = state;
    if (event.type === 'vmLost') {
      tasks.clear();
      requests.clear();
    }
    if (event.type === 'taskStart') tasks.set(taskKey(event.name), event);
    if (isEnd(event)) tasks.delete(taskKey(event.name));
    if (event.type === 'executorBegin') requests.set(event.requestId, event);
    if (event.type === 'executorEnd') requests.delete(event.requestId);
    const starts = event.type === 'taskStart' || event.type === 'executorBegin';
    if (!starts || !ended) return;
    yield finding(`${vm} got work after its agent stopped.`, ended, event);
  }
}
