import {Checker, finding} from '../history.js';
import type {EventOf, Finding, HistoryEvent} from '../history.js';

const CALM_BOUND_MILLIS = 5_000;
const FAULT_BOUND_MILLIS = 15_000;

/** What is known of one running process. */
interface ProcessState {
  readonly upAt: number;
  readonly run: number;
  revision: number;
}

/**
 * An accepted configuration is in force everywhere within seconds, never
 * reverts, and keeps what operators who raced for it were told is done. A fault that is on stops the count; after the last one has ended
 * the longer bound applies.
 */
export class SettingsChecker extends Checker {
  readonly point = 'settings in force';

  protected *judge(events: readonly HistoryEvent[]): Iterable<Finding> {
    const processes = new Map<string, ProcessState>();
    const faults = new Set<string>();
    let pending: Array<EventOf<'settingsAccepted'>> = [];
    let calmSince = 0;
    let drained = new Set<string>();
    const promised = new Set<string>();
    for (const event of events) {
      if (event.type === 'faultBegin') faults.add(faultKey(event));
      if (event.type === 'faultEnd') {
        faults.delete(faultKey(event));
        calmSince = event.time;
      }
      if (event.type === 'processUp') {
        const {run, time} = event;
        processes.set(event.process, {run, upAt: time, revision: 0});
      }
      if (event.type === 'processDown') processes.delete(event.process);
      if (event.type === 'settingsAccepted') pending.push(event);
      if (event.type === 'settingsAccepted' && event.branch === 'fleet') {
        drained = new Set(event.drainedVms);
      }
      if (event.type === 'drainAnswered') promised.add(event.vm);
      for (const vm of promised) {
        if (drained.has(vm)) continue;
        promised.delete(vm);
        yield finding(`The drain of ${vm} was answered and is lost.`, event);
      }
      if (event.type === 'settingsInForce') {
        const state = processes.get(event.process);
        if (!state || state.run !== event.run) continue;
        if (event.revision < state.revision) {
          yield finding('The configuration went back.', event);
        }
        state.revision = Math.max(state.revision, event.revision);
      }
      if (faults.size > 0) continue;
      const lagging = new Set<EventOf<'settingsAccepted'>>();
      for (const change of pending) {
        const behind = [...processes].filter(
          ([, state]) => state.revision < change.revision,
        );
        const late = behind.find(([, state]) =>
          isLate(event.time, change, state, calmSince),
        );
        if (behind.length > 0 && !late) lagging.add(change);
        if (!late) continue;
        const message = `The configuration is not in force in ${late[0]}.`;
        yield finding(message, change, event);
      }
      pending = pending.filter(change => lagging.has(change));
    }
  }
}

function isLate(
  now: number,
  change: HistoryEvent,
  state: ProcessState,
  calmSince: number,
): boolean {
  const acceptedAt = change.time;
  const bound =
    calmSince > 0 && calmSince >= acceptedAt - FAULT_BOUND_MILLIS
      ? FAULT_BOUND_MILLIS
      : CALM_BOUND_MILLIS;
  const since = Math.max(acceptedAt, state.upAt, calmSince);
  return now - since > bound;
}

function faultKey(event: {fault: string; process: string}): string {
  return `${event.fault}/${event.process}`;
}
