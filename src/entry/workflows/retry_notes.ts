import type {Clock} from '../../utilities/clock.js';

/** Pause after a start that the worker did not take. */
const REFUSAL_PAUSE_MILLIS = 60;

/** What is remembered of tries at tasks; a new owner begins without it. */
export class RetryNotes {
  private readonly notBefore = new Map<string, number>();
  private readonly failedOn = new Map<string, Set<string>>();

  constructor(private readonly clock: Clock) {}

  mayPlace(task: string): boolean {
    const time = this.notBefore.get(task);
    if (time === undefined) return true;
    if (this.clock.now() < time) return false;
    this.notBefore.delete(task);
    return true;
  }

  hasFailedOn(task: string, worker: string): boolean {
    return this.failedOn.get(task)?.has(worker) ?? false;
  }

  noteRefusal(task: string): void {
    this.notBefore.set(task, this.clock.now() + REFUSAL_PAUSE_MILLIS);
  }

  noteFailure(task: string, worker: string): void {
    const workers = this.failedOn.get(task);
    if (workers) workers.add(worker);
    else this.failedOn.set(task, new Set([worker]));
  }

  forget(task: string): void {
    this.notBefore.delete(task);
    this.failedOn.delete(task);
  }
}
