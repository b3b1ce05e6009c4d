import type {Random} from '../../utilities/random.js';

const FAILURE_BACKOFF_MILLIS = 1000;
const LONGEST_FAILURE_BACKOFF_MILLIS = 5 * 60 * 1000;
const REFUSAL_BACKOFF_MILLIS = 50;
const LONGEST_REFUSAL_BACKOFF_MILLIS = 2000;
const LONGEST_URGENT_BACKOFF_MILLIS = 100;
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

/** How long a task waits after a setback, and which VMs it stays away from. */
export class TaskBackoff {
  private readonly setbacks = new Map<string, Setbacks>();

  constructor(private readonly random: Random) {}

  /** The time to wait after the task itself failed. */
  afterFailure(task: string, vm: string, now: number): number {
    this.avoid(task, vm, now + AVOID_MILLIS);
    const setback = this.setback(task);
    const delay = FAILURE_BACKOFF_MILLIS * 2 ** setback.failures++;
    return this.jittered(delay, LONGEST_FAILURE_BACKOFF_MILLIS);
  }

  /** The time to wait after an agent refused the start. */
  afterRefusal(task: string, urgent = false): number {
    const setback = this.setback(task);
    const delay = REFUSAL_BACKOFF_MILLIS * 2 ** setback.refusals++;
    const longest = urgent
      ? LONGEST_URGENT_BACKOFF_MILLIS
      : LONGEST_REFUSAL_BACKOFF_MILLIS;
    return this.jittered(delay, longest);
  }

  avoided(task: string, now: number): readonly string[] {
    const setback = this.setbacks.get(task);
    if (!setback || now >= setback.avoidUntil) return NOTHING_AVOIDED;
    return setback.avoid;
  }

  /** How often agents refused it since it last ran. */
  refusals(task: string): number {
    return this.setbacks.get(task)?.refusals ?? 0;
  }

  /** The task began: refusals before that don't count any longer. */
  began(task: string): void {
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
