import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import type {Fault, FaultTarget} from './fault.js';
import {domainOf} from './fleet_size.js';
import type {FleetSize} from './fleet_size.js';
import type {TracedRequest} from './request_trace.js';
import {ServiceRecorder} from './service_recorder.js';

interface CentralExecutor {
  readonly failureDomain: string;
  running: number;
  slowdown: number;
  /** Neither failing, lost, frozen nor draining. */
  usable: boolean;
}

/**
 * The bound: one queue in front of all slots that knows every executor's state
 * without delay. The first request waiting gets the first free slot, of the
 * fastest executor, in its entry's failure domain where one is free.
 */
export class CentralQueue implements FaultTarget {
  private readonly clock = new VirtualClock();
  private readonly recorder: ServiceRecorder;
  private readonly executors: CentralExecutor[] = [];
  private waiting: TracedRequest[] = [];
  private head = 0;

  constructor(private readonly size: FleetSize) {
    this.recorder = new ServiceRecorder(size);
    for (let index = 0; index < size.executors; index++) {
      const failureDomain = domainOf(size, index);
      this.executors.push({
        failureDomain,
        running: 0,
        slowdown: 1,
        usable: true,
      });
    }
  }

  run(
    trace: readonly TracedRequest[],
    faults: readonly Fault[],
  ): ServiceRecorder {
    for (const {atMillis, apply} of faults) {
      this.clock.schedule(atMillis, () => apply(this));
    }
    for (const request of trace) {
      this.clock.runUntil(request.arrivalMillis);
      this.waiting.push(request);
      this.startWaiting();
    }
    this.clock.runUntil(this.clock.now() + 2 * this.size.deadlineMillis);
    return this.recorder;
  }

  setSlowdown(executor: number, factor: number): void {
    this.executors[executor].slowdown = factor;
  }

  setFailing(executor: number, failing: boolean): void {
    this.setUsable(executor, !failing);
  }

  killVm(executor: number): void {
    this.setUsable(executor, false);
  }

  replaceVm(executor: number): void {
    this.setUsable(executor, true);
  }

  freezeVm(executor: number): void {
    this.setUsable(executor, false);
  }

  thawVm(executor: number): void {
    this.setUsable(executor, true);
  }

  drainVm(executor: number): void {
    this.setUsable(executor, false);
  }

  /** The bound has no entries that could fail. */
  killEntry(): void {}
  freezeEntry(): void {}
  thawEntry(): void {}
  replaceEntry(): void {}

  private setUsable(executor: number, usable: boolean): void {
    this.executors[executor].usable = usable;
    this.startWaiting();
  }

  private startWaiting(): void {
    while (this.head < this.waiting.length) {
      const request = this.waiting[this.head];
      const now = this.clock.now();
      if (now - request.arrivalMillis > this.size.deadlineMillis) {
        this.recorder.ended('notRun', now - request.arrivalMillis);
        this.head++;
        continue;
      }
      const executor = this.bestExecutor(request);
      if (!executor) break;
      this.head++;
      this.start(request, executor);
    }
    if (this.head > this.waiting.length / 2) {
      this.waiting = this.waiting.slice(this.head);
      this.head = 0;
    }
  }

  private bestExecutor(request: TracedRequest): CentralExecutor | undefined {
    const own = domainOf(this.size, request.entry);
    let best: CentralExecutor | undefined;
    for (const executor of this.executors) {
      if (!executor.usable || executor.running >= this.size.slots) continue;
      if (!best || executor.slowdown < best.slowdown) {
        best = executor;
        continue;
      }
      if (executor.slowdown > best.slowdown) continue;
      if (best.failureDomain === own) continue;
      if (executor.failureDomain === own) best = executor;
    }
    return best;
  }

  private start(request: TracedRequest, executor: CentralExecutor): void {
    const {size} = this;
    const own = domainOf(size, request.entry);
    const isNear = executor.failureDomain === own;
    const roundTrip = 2 * (isNear ? size.localMillis : size.crossingMillis);
    executor.running++;
    const held = request.serviceMillis * executor.slowdown;
    this.clock.schedule(held, () => {
      executor.running--;
      this.startWaiting();
      this.answered(request, this.clock.now() + roundTrip);
    });
  }

  private answered(request: TracedRequest, answeredAt: number): void {
    const latency = answeredAt - request.arrivalMillis;
    if (latency > this.size.deadlineMillis) {
      this.recorder.ended('unknown', latency);
      return;
    }
    this.recorder.ended('answered', latency);
    const least = request.serviceMillis + 2 * this.size.localMillis;
    this.recorder.waited(latency - least);
  }
}
