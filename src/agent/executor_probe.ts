import {Events} from '../observability/events.js';
import type {Logger} from '../observability/logger.js';
import type {Executor} from '../backends/executor.js';
import {messageOf} from '../utilities/base_error.js';
import type {Clock} from '../utilities/clock.js';
import {withReplyDeadline} from './reply_deadline.js';

const PROBE_PERIOD_MILLIS = 1_000;
const PROBE_DEADLINE_MILLIS = 1_000;
/** Failed probes in a row after which the executor is unavailable. */
const MINIMUM_FAILED_PROBES = 2;

/** Checks periodically that the executor responds. */
export class ExecutorProbe {
  private nextProbeAt = -Infinity;
  private failures = 0;
  private isProbing = false;
  private unavailable = false;

  constructor(
    private readonly executor: Executor,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** True if several probes in a row have failed and none succeeded since. */
  get isUnavailable(): boolean {
    return this.unavailable;
  }

  tick(now: number): void {
    if (this.isProbing || now < this.nextProbeAt) return;
    this.nextProbeAt = now + PROBE_PERIOD_MILLIS;
    void this.probe();
  }

  /** Probes at the next tick, for instance after a request was not sent. */
  probeSoon(): void {
    this.nextProbeAt = -Infinity;
  }

  private async probe(): Promise<void> {
    this.isProbing = true;
    try {
      await withReplyDeadline(
        this.clock,
        this.executor.probe(),
        PROBE_DEADLINE_MILLIS,
        'probe the executor',
      );
      this.recordSuccess();
    } catch (error) {
      this.recordFailure(messageOf(error));
    } finally {
      this.isProbing = false;
    }
  }

  private recordSuccess(): void {
    this.failures = 0;
    if (!this.unavailable) return;
    this.unavailable = false;
    this.logger.event(Events.EXECUTOR_BACK, {});
  }

  private recordFailure(reason: string): void {
    this.failures += 1;
    if (this.unavailable || this.failures < MINIMUM_FAILED_PROBES) return;
    this.unavailable = true;
    this.logger.event(Events.EXECUTOR_LOST, {reason});
  }
}
