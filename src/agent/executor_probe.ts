import {Events} from '../observability/events.js';
import type {Logger} from '../observability/logger.js';
import type {Executor} from '../backends/executor.js';
import {messageOf} from '../utilities/base_error.js';
import type {Clock} from '../utilities/clock.js';
import {withReplyDeadline} from './reply_deadline.js';

const PROBE_PERIOD_MILLIS = 1_000;
const PROBE_DEADLINE_MILLIS = 1_000;
const FAILED_PROBES = 2;

/** Finds out whether the executor answers. */
export class ExecutorProbe {
  private nextProbeAt = -Infinity;
  private failures = 0;
  private probing = false;
  private unavailable = false;

  constructor(
    private readonly executor: Executor,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Several probes in a row have failed, and none has succeeded since. */
  get isUnavailable(): boolean {
    return this.unavailable;
  }

  tick(now: number): void {
    if (this.probing || now < this.nextProbeAt) return;
    this.nextProbeAt = now + PROBE_PERIOD_MILLIS;
    void this.probe();
  }

  /** A request could not be sent: probe without waiting for the period. */
  probeSoon(): void {
    this.nextProbeAt = -Infinity;
  }

  private async probe(): Promise<void> {
    this.probing = true;
    try {
      await withReplyDeadline(
        this.clock,
        this.executor.probe(),
        PROBE_DEADLINE_MILLIS,
        'probe the executor',
      );
      this.noteAnswer();
    } catch (error) {
      this.noteFailure(messageOf(error));
    } finally {
      this.probing = false;
    }
  }

  private noteAnswer(): void {
    this.failures = 0;
    if (!this.unavailable) return;
    this.unavailable = false;
    this.logger.event(Events.EXECUTOR_BACK, {});
  }

  private noteFailure(reason: string): void {
    this.failures += 1;
    if (this.unavailable || this.failures < FAILED_PROBES) return;
    this.unavailable = true;
    this.logger.event(Events.EXECUTOR_LOST, {reason});
  }
}
