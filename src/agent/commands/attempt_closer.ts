import type {AttemptReport} from '../../decisions/job_types.js';
import {Events} from '../../observability/events.js';
import type {AgentContext} from '../agent_context.js';
import {AttemptPhase} from '../attempt_table.js';
import type {Attempt} from '../attempt_table.js';

/** Ends attempts: releases their capacity and keeps the report to be sent. */
export class AttemptCloser {
  constructor(private readonly context: AgentContext) {}

  /** Ends the attempt; does nothing if it has already ended. */
  close(attempt: Attempt, report: AttemptReport): void {
    if (attempt.phase === AttemptPhase.ENDED) return;
    attempt.phase = AttemptPhase.ENDED;
    attempt.report = report;
    const {ledger, closed, clock, logger} = this.context;
    ledger.release(attempt.key);
    closed.close(attempt.key, clock.now());
    logger.event(Events.TASK_ENDED, {
      attempt: attempt.key,
      outcome: report.outcome,
      resultCode: report.resultCode,
      reason: report.reason,
    });
  }

  /** Removes attempts whose reports are recorded in the shard's log. */
  acknowledge(attempts: readonly Attempt[]): void {
    const {attempts: table, closed, clock, worker} = this.context;
    if (attempts.length === 0) return;
    for (const attempt of attempts) {
      table.remove(attempt.key);
      closed.close(attempt.key, clock.now());
    }
    const taskIds = attempts.map(attempt => attempt.taskId);
    // If the call fails, the worker keeps listing the ended tasks: they are
    // ignored while `closed` has their attempts, then reported and forgotten.
    worker.forget(taskIds).catch(() => undefined);
  }
}
