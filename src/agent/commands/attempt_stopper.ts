import {AttemptOutcome} from '../../decisions/job_types.js';
import {ResultCodes} from '../../observability/result_codes.js';
import {WorkerRefusedError} from '../../backends/platform_errors.js';
import {WorkerTaskState} from '../../backends/worker.js';
import type {AgentContext} from '../agent_context.js';
import {createEndedReport} from '../attempt_reports.js';
import {AttemptPhase} from '../attempt_table.js';
import type {Attempt, StopIntent} from '../attempt_table.js';
import {withReplyDeadline} from '../reply_deadline.js';
import type {AttemptCloser} from './attempt_closer.js';

const STOP_DEADLINE_MILLIS = 2_000;

/** Stops attempts at the worker and repeats the stop until they have ended. */
export class AttemptStopper {
  private readonly stopsInProgress = new Set<string>();

  constructor(
    private readonly context: AgentContext,
    private readonly closer: AttemptCloser,
  ) {}

  /** Begins to stop the attempt; the first reason given is reported. */
  stop(attempt: Attempt, intent: StopIntent): void {
    if (attempt.phase === AttemptPhase.ENDED) return;
    // A cancelled attempt needs no checkpoint, whatever it was stopped for.
    const isCancelled = intent.outcome === AttemptOutcome.CANCELLED;
    if (!attempt.stopIntent || isCancelled) attempt.stopIntent = intent;
    this.advance(attempt);
  }

  /** Repeats the stop of attempts that have not ended yet. */
  tick(): void {
    for (const attempt of this.context.attempts.live()) {
      if (attempt.stopIntent) this.advance(attempt);
    }
  }

  private advance(attempt: Attempt): void {
    if (attempt.seenAt === undefined) return;
    attempt.phase = AttemptPhase.STOPPING;
    if (this.stopsInProgress.has(attempt.key)) return;
    this.stopsInProgress.add(attempt.key);
    void this.stopAtWorker(attempt).finally(() =>
      this.stopsInProgress.delete(attempt.key),
    );
  }

  private async stopAtWorker(attempt: Attempt): Promise<void> {
    const checkpoint = attempt.stopIntent?.checkpoint ?? false;
    try {
      const task = await this.callStop(attempt, checkpoint);
      // A response about another task is ignored: the next tick repeats the stop.
      if (task.id !== attempt.taskId) return;
      if (task.state === WorkerTaskState.RUNNING) return;
      this.closer.close(attempt, createEndedReport(attempt, task));
    } catch (error) {
      // Without a refusal of the worker, the next tick repeats the stop.
      if (!(error instanceof WorkerRefusedError) || !checkpoint) return;
      attempt.stopIntent = withoutCheckpoint(attempt.stopIntent);
    }
  }

  private callStop(attempt: Attempt, checkpoint: boolean) {
    const {clock, worker} = this.context;
    const response = worker.stop(attempt.taskId, {checkpoint});
    const description = `stop ${attempt.taskId}`;
    return withReplyDeadline(
      clock,
      response,
      STOP_DEADLINE_MILLIS,
      description,
    );
  }
}

/** Without a checkpoint to resume from, an eviction becomes a loss. */
function withoutCheckpoint(
  intent: StopIntent | undefined,
): StopIntent | undefined {
  if (!intent) return undefined;
  const isEvicted = intent.outcome === AttemptOutcome.EVICTED;
  const outcome = isEvicted ? AttemptOutcome.LOST : intent.outcome;
  return {...intent, outcome, checkpoint: false};
}

/** Returns an intent to stop with a checkpoint for the next attempt. */
export function evictionIntent(
  reason: string,
  resultCode: number = ResultCodes.VM_DRAINED.number,
): StopIntent {
  return {
    outcome: AttemptOutcome.EVICTED,
    resultCode,
    reason,
    checkpoint: true,
  };
}
