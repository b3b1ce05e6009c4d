import type {ExecutorReport} from '../../protocol/generated/burdockmoor.js';
import type {SlotQueue} from '../../decisions/admission/slot_queue.js';
import type {ExecutorConfiguration} from '../agent_context.js';

/** What a report says besides the state of the queue. */
export interface ExecutorCondition {
  /** Takes no new requests for good or by the operators' wish. */
  readonly draining: boolean;
  readonly unavailable: boolean;
  readonly tailMillis: number;
}

/** The state of an executor's queue, as entries see it. */
export function executorReport(
  configuration: ExecutorConfiguration,
  queue: SlotQueue<unknown>,
  condition: ExecutorCondition,
): ExecutorReport {
  return {
    service: configuration.service,
    team: configuration.team,
    slots: configuration.slots,
    inFlight: queue.inFlight,
    queued: queue.queued,
    serviceMillis: queue.serviceMillis,
    ...condition,
  };
}
