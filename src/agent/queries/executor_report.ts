import type {ExecutorReport} from '../../protocol/generated/burdockmoor.js';
import type {SlotQueue} from '../../decisions/admission/slot_queue.js';
import type {ExecutorConfiguration} from '../agent_context.js';

/** The fields of a report besides the state of the queue. */
export interface ExecutorCondition {
  /** True if new requests are refused, permanently or by operators. */
  readonly draining: boolean;
  readonly unavailable: boolean;
  readonly tailMillis: number;
}

/** Returns the state of an executor's queue for entries. */
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
