const TAIL_SHARE = 0.99;

interface TimedAnswer {
  readonly answeredAt: number;
  readonly answerMillis: number;
}

/** Minimum number of responses from which a tail latency is computed. */
const MINIMUM_ANSWERS = 5;

export interface AnswerWindowOptions {
  /** Responses up to this age always count. */
  readonly recentMillis?: number;
  /** Older responses count as well until there are this many. */
  readonly minimumAnswers?: number;
  /** Maximum age of a response that counts. */
  readonly maximumAgeMillis?: number;
}

/** The 99th percentile of a service's recent response times. */
export class ResponseWindow {
  private readonly recentMillis: number;
  private readonly minimumAnswers: number;
  private readonly maximumAgeMillis: number;
  private answers: TimedAnswer[] = [];
  private cached: {at: number; tailMillis: number} | undefined;

  constructor({
    recentMillis = 2_000,
    minimumAnswers = 100,
    maximumAgeMillis = 10_000,
  }: AnswerWindowOptions = {}) {
    this.recentMillis = recentMillis;
    this.minimumAnswers = minimumAnswers;
    this.maximumAgeMillis = maximumAgeMillis;
  }

  /** Number of responses from which the tail latency is computed. */
  get count(): number {
    return this.answers.length;
  }

  observe(answerMillis: number, now: number): void {
    this.answers.push({answeredAt: now, answerMillis});
    this.cached = undefined;
  }

  /** Discards responses that were measured under other conditions. */
  clear(): void {
    this.answers = [];
    this.cached = undefined;
  }

  /** Returns the tail latency; 0 if there are too few recent responses. */
  tailMillis(now: number): number {
    if (this.cached && this.cached.at === now) return this.cached.tailMillis;
    this.dropOld(now);
    const times = Float64Array.from(this.answers, item => item.answerMillis);
    times.sort();
    const rank = Math.ceil(times.length * TAIL_SHARE) - 1;
    const tailMillis = times.length < MINIMUM_ANSWERS ? 0 : times[rank];
    this.cached = {at: now, tailMillis};
    return tailMillis;
  }

  private dropOld(now: number): void {
    const surplus = this.answers.length - this.minimumAnswers;
    let drop = 0;
    for (const [index, {answeredAt}] of this.answers.entries()) {
      const ageMillis = now - answeredAt;
      const isOld = ageMillis > this.maximumAgeMillis;
      const isReplaced = ageMillis > this.recentMillis && index < surplus;
      if (!isOld && !isReplaced) break;
      drop = index + 1;
    }
    if (drop > 0) this.answers = this.answers.slice(drop);
  }
}
