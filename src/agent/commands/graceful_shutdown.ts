import type {AgentContext} from '../agent_context.js';
import type {HeartbeatSender} from '../heartbeat_sender.js';
import type {ReportSender} from '../report_sender.js';
import type {AttemptStopper} from './attempt_stopper.js';
import {evictionIntent} from './attempt_stopper.js';
import type {ServeRequests} from './serve_requests.js';
import {pause} from '../../utilities/pause.js';

const CHECK_PERIOD_MILLIS = 50;

/**
 * Shuts an agent down: announces it, accepts no new work, finishes requests,
 * checkpoints and stops evictable tasks, and has their ends recorded. Other
 * tasks continue at the worker until their leases expire.
 */
export class GracefulShutdown {
  constructor(
    private readonly context: AgentContext,
    private readonly heartbeats: HeartbeatSender,
    private readonly stopper: AttemptStopper,
    private readonly reports: ReportSender,
    private readonly service: ServeRequests | undefined,
  ) {}

  /** Resolves when the work is done or the deadline has passed. */
  async execute(reason: string, deadlineMillis: number): Promise<void> {
    const endsAt = this.context.clock.now() + deadlineMillis;
    this.context.stopping = true;
    this.service?.drain();
    const announced = this.heartbeats.sendToAll();
    for (const attempt of this.context.attempts.live()) {
      if (!attempt.evictable) continue;
      this.stopper.stop(attempt, evictionIntent(`the agent stops: ${reason}`));
    }
    while (!this.isDone() && this.context.clock.now() < endsAt) {
      await pause(this.context.clock, CHECK_PERIOD_MILLIS);
    }
    await announced;
  }

  private isDone(): boolean {
    if (this.service && this.service.openCount > 0) return false;
    for (const attempt of this.context.attempts.live()) {
      if (attempt.evictable) return false;
    }
    return !this.reports.hasReports;
  }
}
