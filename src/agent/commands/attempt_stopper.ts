import {AttemptOutcome} from '../../decisions/job_types.js';
import {ResultCodes} from '../../observability/result_codes.js';
import {WorkerRefusedError} from '../../backends/platform_errors.js';
import {WorkerTaskState} from '../../backends/worker.js';
import type {AgentContext} from '../agent_context.js';
import {endedReport} from '../attempt_reports.js';
import {AttemptPhase} from '../attempt_table.js';
import type {Attempt, StopIntent} from '../attempt_table.js';
import {withReplyDeadline} from '../reply_deadline.js';
import type {AttemptCloser} from './attempt_closer.js';

const STOP_DEADLINE_MILLIS = 2_000;

/** Stops attempts at the worker and repeats the stop until they have ended. */
export class AttemptStopper {
  private readonly underWay = new Set<string>();

  constructor(
    private readonly context: AgentContext,
    private readonly closer: AttemptCloser,
  ) {}

  /** Begins to stop the attempt; the first reason given is reported. */
  stop(attempt: Attempt, intent: StopIntent): void {
    if (attempt.phase === AttemptPhase.ENDED) return;
    // A cancelled attempt needs no checkpoint, whatever it was stopped for.
    const cancels = intent.outcome === AttemptOutcome.CANCELLED;
    if (!attempt.stopIntent || cancels) attempt.stopIntent = intent;
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
    if (this.underWay.has(attempt.key)) return;
    this.underWay.add(attempt.key);
    void this.stopAtWorker(attempt).finally(() =>
      this.underWay.delete(attempt.key),
    );
  }

  private async stopAtWorker(attempt: Attempt): Promise<void> {
    const checkpoint = attempt.stopIntent?.checkpoint ?? false;
    try {
      const task = await this.callStop(attempt, checkpoint);
      // A response about another task is ignored: the next tick repeats the stop.
      if (task.id !== attempt.taskId) return;
      if (task.state === WorkerTaskState.RUNNING) return;
      this.closer.close(attempt, endedReport(attempt, task));
    } catch (error) {
      // Without a refusal of the worker, the next tick repeats the stop.
      if (!(error instanceof WorkerRefusedError) || !checkpoint) return;
      attempt.stopIntent = withoutCheckpoint(attempt.stopIntent);
    }
  }

  private callStop(attempt: Attempt, checkpoint: boolean) {
    const {clock, worker} = this.context;
    const answer = worker.stop(attempt.taskId, {checkpoint});
    const what = `stop ${attempt.taskId}`;
    return withReplyDeadline(clock, answer, STOP_DEADLINE_MILLIS, what);
  }
}

/** Without a checkpoint to resume from, an eviction becomes a loss. */
function withoutCheckpoint(
  intent: StopIntent | undefined,
): StopIntent | undefined {
  if (!intent) return undefined;
  const evicted = intent.outcome === AttemptOutcome.EVICTED;
  const outcome = evicted ? AttemptOutcome.LOST : intent.outcome;
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
