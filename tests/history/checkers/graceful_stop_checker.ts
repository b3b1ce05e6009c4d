import {taskKey} from '../history.js';
import type {Checker, HistoryEvent, Violation} from '../history.js';
import {isEnd} from './capacity_checker.js';

/**
 * Every planned stop is graceful: when the agent has stopped, nothing runs on
 * its VM. A stop during which a fault is on at that very VM is passed over.
 */
export class GracefulStopChecker implements Checker {
  readonly point = 'graceful stop';

  check(events: readonly HistoryEvent[]): Violation[] {
    const violations: Violation[] = [];
    const running = new Map<string, Map<string, HistoryEvent>>();
    const requests = new Map<string, Map<string, HistoryEvent>>();
    const faults = new Map<string, HistoryEvent>();
    const disturbed = new Set<string>();
    for (const event of events) {
      if (event.type === 'faultBegin') {
        faults.set(`${event.fault}/${event.process}`, event);
        disturbed.add(event.process);
      }
      if (event.type === 'faultEnd') {
        faults.delete(`${event.fault}/${event.process}`);
      }
      if (event.type === 'shutdownBegin') {
        disturbed.clear();
        for (const fault of faults.values()) {
          if (fault.type === 'faultBegin') disturbed.add(fault.process);
        }
      }
      if (event.type === 'vmLost') {
        running.delete(event.vm);
        requests.delete(event.vm);
      }
      if (event.type === 'taskStart') {
        placeOf(running, event.vm).set(taskKey(event.name), event);
      }
      if (isEnd(event)) placeOf(running, event.vm).delete(taskKey(event.name));
      if (event.type === 'executorBegin') {
        placeOf(requests, event.vm).set(event.requestId, event);
      }
      if (event.type === 'executorEnd') {
        placeOf(requests, event.vm).delete(event.requestId);
      }
      if (event.type !== 'shutdownEnd' || event.vm === '') continue;
      const {vm} = event;
      if ([...disturbed].some(process => process.includes(vm))) continue;
      const left = [
        ...placeOf(running, event.vm).values(),
        ...placeOf(requests, event.vm).values(),
      ];
      if (left.length === 0) continue;
      violations.push({
        point: this.point,
        message: `Work was left on ${event.vm} when its agent had stopped.`,
        excerpt: [...left, event],
      });
    }
    return violations;
  }
}

function placeOf(
  places: Map<string, Map<string, HistoryEvent>>,
  vm: string,
): Map<string, HistoryEvent> {
  let place = places.get(vm);
  if (!place) {
    place = new Map();
    places.set(vm, place);
  }
  return place;
}
