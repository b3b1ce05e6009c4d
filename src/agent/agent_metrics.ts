import type {
  Counter,
  LatencyHistogram,
  Metrics,
} from '../observability/metrics.js';
import type {AgentContext} from './agent_context.js';

/** Counters and histograms of an agent. */
export class AgentMetrics {
  readonly responseTimes: LatencyHistogram;
  readonly requestsNotRun: Counter;
  readonly startsAccepted: Counter;
  readonly startsRefused: Counter;

  constructor(metrics: Metrics) {
    this.responseTimes = metrics.latency(
      'agent_answer_seconds',
      'Time from the arrival of a request to the answer of the executor.',
    );
    this.requestsNotRun = metrics.counter(
      'agent_requests_not_run_total',
      'Requests that were refused or could not be sent.',
    );
    this.startsAccepted = metrics.counter(
      'agent_starts_accepted_total',
      'Starts of task attempts that were accepted.',
    );
    this.startsRefused = metrics.counter(
      'agent_starts_refused_total',
      'Starts of task attempts that were refused.',
    );
  }
}

/** Registers gauges of the state of the VM. */
export function registerVmGauges(
  metrics: Metrics,
  context: AgentContext,
): void {
  const {attempts, clock, ledger, settings} = context;
  metrics.observe(
    'agent_committed_milliprocessors',
    'Processors that are committed, in thousandths.',
    () => ledger.committed.milliprocessors,
  );
  metrics.observe(
    'agent_committed_memory_megabytes',
    'Memory that is committed.',
    () => ledger.committed.memoryMegabytes,
  );
  metrics.observe(
    'agent_committed_accelerators',
    'Accelerators that are committed.',
    () => ledger.committed.accelerators,
  );
  metrics.observe(
    'agent_running_attempts',
    'Task attempts that may occupy the worker.',
    () => attempts.live().length,
  );
  metrics.observe(
    'agent_unrecorded_attempts',
    "Ended attempts whose report the shard's log does not hold yet.",
    () => attempts.ended().length,
  );
  metrics.observe(
    'agent_settings_age_seconds',
    'Time since the settings were confirmed.',
    () => settings.confirmedAgeMillis(clock.now()) / 1_000,
  );
}
