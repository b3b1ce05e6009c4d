import {SlotQueue} from '../../src/decisions/admission/slot_queue.js';
import type {SlotItem} from '../../src/decisions/admission/slot_queue.js';
import type {UpstreamReport} from '../../src/decisions/routing/upstream_report.js';
import type {Clock} from '../../src/utilities/clock.js';
import {domainOf} from './fleet_size.js';
import type {FleetSize} from './fleet_size.js';
import {SimulatedProcess} from './simulated_process.js';

const FAILING_MILLIS = 1;

export interface AgentAnswer {
  readonly outcome: 'answered' | 'notRun';
  /** The executor answered with a server error. */
  readonly failed: boolean;
  readonly report: UpstreamReport;
}

/** Told of each answer of the executor, with the times that an agent sees. */
export type AnswerObserver = (
  answerMillis: number,
  serviceMillis: number,
  now: number,
) => void;

interface ServedRequest {
  readonly arrivedAt: number;
  readonly serviceMillis: number;
  reply(answer: AgentAnswer): void;
}

/** An agent with its executor, around the real slot queue. */
export class SimulatedAgent extends SimulatedProcess {
  readonly agentId: string;
  readonly failureDomain: string;
  private readonly queue: SlotQueue<ServedRequest>;
  private readonly size: FleetSize;
  private slowdown = 1;
  private failing = false;
  private observer: AnswerObserver | undefined;

  constructor(clock: Clock, size: FleetSize, index: number, run: number) {
    super(clock);
    this.size = size;
    this.agentId = `agent${index}.${run}`;
    this.failureDomain = domainOf(size, index);
    this.queue = new SlotQueue(size);
  }

  /** Requests that start from now on take this many times longer. */
  setSlowdown(factor: number): void {
    this.slowdown = factor;
  }

  setObserver(observer: AnswerObserver): void {
    this.observer = observer;
  }

  /** The executor answers everything at once with an error. */
  setFailing(failing: boolean): void {
    this.failing = failing;
  }

  drain(): void {
    this.queue.drain();
  }

  serve(
    id: string,
    deadlineMillis: number,
    serviceMillis: number,
    reply: (answer: AgentAnswer) => void,
  ): void {
    this.receive(() => {
      const now = this.clock.now();
      const item = {
        id,
        deadlineAt: now + deadlineMillis,
        value: {arrivedAt: now, serviceMillis, reply},
      };
      const decision = this.queue.offer(item, now);
      if (decision.kind === 'refused') this.notRun([item]);
      if (decision.kind === 'run') this.run(item);
      if (decision.kind === 'queued') this.expireLater();
    });
  }

  report(): UpstreamReport {
    return {
      agentId: this.agentId,
      service: 'orders',
      failureDomain: this.failureDomain,
      slots: this.size.slots,
      inFlight: this.queue.inFlight,
      queued: this.queue.queued,
      serviceMillis: this.queue.serviceMillis,
      tailMillis: 0,
      draining: this.queue.draining,
      unavailable: false,
    };
  }

  private run(item: SlotItem<ServedRequest>): void {
    const failed = this.failing;
    const heldMillis = failed
      ? FAILING_MILLIS
      : item.value.serviceMillis * this.slowdown;
    this.later(heldMillis, () => {
      const now = this.clock.now();
      const {run, expired} = this.queue.release(item.id, heldMillis, now);
      for (const next of run) this.run(next);
      this.notRun(expired);
      this.observer?.(now - item.value.arrivedAt, heldMillis, now);
      const report = this.report();
      item.value.reply({outcome: 'answered', failed, report});
    });
  }

  private expireLater(): void {
    const deadline = this.queue.nextDeadline();
    if (deadline === undefined) return;
    this.later(deadline - this.clock.now(), () => {
      this.notRun(this.queue.expire(this.clock.now()));
    });
  }

  private notRun(items: Array<SlotItem<ServedRequest>>): void {
    const report = this.report();
    for (const {value} of items) {
      value.reply({outcome: 'notRun', failed: false, report});
    }
  }
}
