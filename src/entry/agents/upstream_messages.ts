import type {UpstreamReport} from '../../decisions/routing/upstream_report.js';
import type {
  ExecutorReport,
  HeartbeatRequest,
} from '../../protocol/generated/burdockmoor.js';

/** Returns the router's view of an executor that an agent reports. */
export function upstreamReportOf(
  heartbeat: HeartbeatRequest,
  executor: ExecutorReport,
): UpstreamReport {
  return {
    agentId: heartbeat.agentId,
    service: executor.service,
    failureDomain: heartbeat.failureDomain,
    slots: executor.slots,
    inFlight: executor.inFlight,
    queued: executor.queued,
    serviceMillis: executor.serviceMillis,
    tailMillis: executor.tailMillis,
    draining: executor.draining || heartbeat.stopping,
    unavailable: executor.unavailable,
  };
}
