import type {Random} from '../../utilities/random.js';

const FAILURE_BACKOFF_MILLIS = 1000;
const MAXIMUM_FAILURE_BACKOFF_MILLIS = 5 * 60 * 1000;
const REFUSAL_BACKOFF_MILLIS = 50;
const MAXIMUM_REFUSAL_BACKOFF_MILLIS = 2000;
const MAXIMUM_URGENT_BACKOFF_MILLIS = 100;
const JITTER_SHARE = 0.3;

interface Setbacks {
  failures: number;
  refusals: number;
  avoid: string[];
  avoidUntil: number;
}

const MAXIMUM_AVOIDED = 3;
const AVOID_MILLIS = 30_000;
const NOTHING_AVOIDED: readonly string[] = [];

/** Delays a task after a failure or refusal and avoids VMs it failed on. */
export class TaskBackoff {
  private readonly setbacks = new Map<string, Setbacks>();

  constructor(private readonly random: Random) {}

  /** Returns the delay in milliseconds after the task itself failed. */
  afterFailure(task: string, vm: string, now: number): number {
    this.avoid(task, vm, now + AVOID_MILLIS);
    const setback = this.setback(task);
    const delay = FAILURE_BACKOFF_MILLIS * 2 ** setback.failures++;
    return this.jittered(delay, MAXIMUM_FAILURE_BACKOFF_MILLIS);
  }

  /** Returns the delay in milliseconds after an agent refused the start. */
  afterRefusal(task: string, urgent = false): number {
    const setback = this.setback(task);
    const delay = REFUSAL_BACKOFF_MILLIS * 2 ** setback.refusals++;
    const longest = urgent
      ? MAXIMUM_URGENT_BACKOFF_MILLIS
      : MAXIMUM_REFUSAL_BACKOFF_MILLIS;
    return this.jittered(delay, longest);
  }

  avoided(task: string, now: number): readonly string[] {
    const setback = this.setbacks.get(task);
    if (!setback || now >= setback.avoidUntil) return NOTHING_AVOIDED;
    return setback.avoid;
  }

  /** Returns the number of refusals since the task last ran. */
  refusals(task: string): number {
    return this.setbacks.get(task)?.refusals ?? 0;
  }

  /** Called when the task has begun; resets its refusals. */
  recordStart(task: string): void {
    const setback = this.setbacks.get(task);
    if (setback) setback.refusals = 0;
  }

  forget(task: string): void {
    this.setbacks.delete(task);
  }

  private avoid(task: string, vm: string, until: number): void {
    const setback = this.setback(task);
    const others = setback.avoid.filter(other => other !== vm);
    setback.avoid = [vm, ...others].slice(0, MAXIMUM_AVOIDED);
    setback.avoidUntil = Math.max(setback.avoidUntil, until);
  }

  private jittered(delayMillis: number, longestMillis: number): number {
    return this.random.jitter(
      Math.min(delayMillis, longestMillis),
      JITTER_SHARE,
    );
  }

  private setback(task: string): Setbacks {
    let setback = this.setbacks.get(task);
    if (!setback) {
      setback = {failures: 0, refusals: 0, avoid: [], avoidUntil: 0};
      this.setbacks.set(task, setback);
    }
    return setback;
  }
}
