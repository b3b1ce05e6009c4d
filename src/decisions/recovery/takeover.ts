import type {AttemptLifecycle} from '../jobs/attempt_lifecycle.js';
import {TaskPhase} from '../jobs/job_state.js';
import type {JobState} from '../jobs/job_state.js';
import {OpenAttempt} from '../jobs/open_attempts.js';
import type {ShardState} from '../jobs/shard_state.js';

/**
 * Builds a new owner's state from the replayed log: queues waiting tasks and
 * marks open attempts to be queried at their agents.
 */
export class TakeOver {
  constructor(
    private readonly state: ShardState,
    private readonly lifecycle: AttemptLifecycle,
  ) {}

  run(now: number): void {
    for (const job of this.state.registry.jobs.values()) this.resume(job, now);
  }

  private resume(job: JobState, now: number): void {
    const {team, name: jobName} = job.specification;
    for (const [index, task] of job.tasks.entries()) {
      if (task.phase === TaskPhase.WAITING) this.state.ready.add(job, index);
      if (task.phase !== TaskPhase.OPEN) continue;
      const {attempts} = task;
      const name = {team, job: jobName, task: index, attempt: attempts};
      const size = job.reservedSize(task);
      const renewedUntil = now + this.state.limits.earlierOwnerGraceMillis;
      const attempt = new OpenAttempt(
        name,
        job,
        task,
        size,
        renewedUntil,
        true,
      );
      attempt.durable = true;
      attempt.queried = true;
      this.lifecycle.track(attempt);
      if (job.cancelReason === undefined) continue;
      this.state.attempts.stop(attempt, job.cancelReason, false);
    }
  }
}
