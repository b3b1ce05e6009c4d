import {
  addResources,
  fitsInto,
  NO_RESOURCES,
  subtractResources,
} from '../../../src/utilities/resources.js';
import type {Resources} from '../../../src/utilities/resources.js';
import type {Checker, HistoryEvent, Violation} from '../history.js';

/** No VM is committed beyond its processors, memory or accelerators. */
export class CapacityChecker implements Checker {
  readonly point = 'capacity';

  check(events: readonly HistoryEvent[]): Violation[] {
    const violations: Violation[] = [];
    const capacities = new Map<string, Resources>();
    const committed = new Map<string, Resources>();
    for (const event of events) {
      if (event.type === 'workerUp') {
        capacities.set(event.vm, event.capacity);
        committed.set(event.vm, NO_RESOURCES);
      }
      if (event.type === 'taskStart') {
        const sum = addResources(committed.get(event.vm)!, event.size);
        committed.set(event.vm, sum);
        if (fitsInto(sum, capacities.get(event.vm)!)) continue;
        violations.push({
          point: this.point,
          message: `VM ${event.vm} is committed beyond its size.`,
          excerpt: [event],
        });
      }
      if (isEnd(event)) {
        const left = subtractResources(committed.get(event.vm)!, event.size);
        committed.set(event.vm, left);
      }
    }
    return violations;
  }
}

type EndEvent = Extract<
  HistoryEvent,
  {type: 'taskFinish' | 'taskFail' | 'taskLapse' | 'taskStop'}
>;

export function isEnd(event: HistoryEvent): event is EndEvent {
  return (
    event.type === 'taskFinish' ||
    event.type === 'taskFail' ||
    event.type === 'taskLapse' ||
    event.type === 'taskStop'
  );
}
