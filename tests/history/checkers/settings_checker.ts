import type {Checker, HistoryEvent, Violation} from '../history.js';

const CALM_BOUND_MILLIS = 5_000;
const FAULT_BOUND_MILLIS = 15_000;

/** What is known of one running process. */
interface ProcessState {
  readonly upAt: number;
  readonly run: number;
  revision: number;
}

/** A change that is not in force everywhere yet. */
interface Pending {
  readonly accepted: HistoryEvent;
  readonly revision: number;
}

/**
 * An accepted configuration is in force everywhere within seconds and never
 * reverts. A fault that is on stops the count; after the last one has ended
 * the longer bound applies.
 */
export class SettingsChecker implements Checker {
  readonly point = 'settings in force';

  check(events: readonly HistoryEvent[]): Violation[] {
    const violations: Violation[] = [];
    const processes = new Map<string, ProcessState>();
    const faults = new Set<string>();
    let pending: Pending[] = [];
    let calmSince = 0;
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
      if (event.type === 'settingsAccepted') {
        pending.push({accepted: event, revision: event.revision});
      }
      if (event.type === 'settingsInForce') {
        const state = processes.get(event.process);
        if (!state || state.run !== event.run) continue;
        if (event.revision < state.revision) {
          violations.push(this.violation('went back', event));
        }
        state.revision = Math.max(state.revision, event.revision);
      }
      if (faults.size > 0) continue;
      pending = pending.filter(change => {
        const lagging = [...processes].filter(
          ([, state]) => state.revision < change.revision,
        );
        const late = lagging.find(([, state]) =>
          isLate(event.time, change, state, calmSince),
        );
        if (!late) return lagging.length > 0;
        const message = `is not in force in ${late[0]}`;
        violations.push(this.violation(message, change.accepted, event));
        return false;
      });
    }
    return violations;
  }

  private violation(
    message: string,
    ...excerpt: readonly HistoryEvent[]
  ): Violation {
    return {
      point: this.point,
      message: `The configuration ${message}.`,
      excerpt,
    };
  }
}

function isLate(
  now: number,
  change: Pending,
  state: ProcessState,
  calmSince: number,
): boolean {
  const acceptedAt = change.accepted.time;
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
