import {
  addResources,
  fitsInto,
  NO_RESOURCES,
  subtractResources,
} from '../../../src/utilities/resources.js';
import type {Resources} from '../../../src/utilities/resources.js';
import {Checker, finding} from '../history.js';
import type {EventOf, Finding, HistoryEvent} from '../history.js';

/** No VM is committed beyond its processors, memory or accelerators. */
export class CapacityChecker extends Checker {
  readonly point = 'capacity';

  protected *judge(events: readonly HistoryEvent[]): Iterable<Finding> {
    const capacities = new Map<string, Resources>();
    const committed = new Map<string, Resources>();
    for (const event of events) {
      if (event.type === 'workerUp') {
        capacities.set(event.vm, event.capacity);
        committed.set(event.vm, NO_RESOURCES);
      }
      if (event.type === 'taskStart') {
        const {vm} = event;
        const sum = addResources(committed.get(vm)!, event.size);
        committed.set(vm, sum);
        if (fitsInto(sum, capacities.get(vm)!)) continue;
        yield finding(`VM ${vm} is committed beyond its size.`, event);
      }
      if (isEnd(event)) {
        const left = subtractResources(committed.get(event.vm)!, event.size);
        committed.set(event.vm, left);
      }
    }
  }
}

const ENDS = ['taskFinish', 'taskFail', 'taskLapse', 'taskStop'] as const;

export function isEnd(
  event: HistoryEvent,
): event is EventOf<(typeof ENDS)[number]> {
  return ENDS.some(type => type === event.type);
}
