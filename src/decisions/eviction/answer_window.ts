const TAIL_SHARE = 0.99;

interface TimedAnswer {
  readonly answeredAt: number;
  readonly answerMillis: number;
}

/** Fewer answers say nothing of a tail. */
const TOO_FEW_ANSWERS = 20;

export interface AnswerWindowOptions {
  /** Answers of this time count. */
  readonly recentMillis?: number;
  /** While there are fewer, older ones count as well. */
  readonly leastAnswers?: number;
  /** No older answer counts. */
  readonly oldestMillis?: number;
}

/** The 99th percentile of a service's recent answer times. */
export class AnswerWindow {
  private readonly recentMillis: number;
  private readonly leastAnswers: number;
  private readonly oldestMillis: number;
  private answers: TimedAnswer[] = [];
  private known: {at: number; tailMillis: number} | undefined;

  constructor({
    recentMillis = 2_000,
    leastAnswers = 100,
    oldestMillis = 10_000,
  }: AnswerWindowOptions = {}) {
    this.recentMillis = recentMillis;
    this.leastAnswers = leastAnswers;
    this.oldestMillis = oldestMillis;
  }

  /** Answers that the tail is taken from. */
  get count(): number {
    return this.answers.length;
  }

  observe(answerMillis: number, now: number): void {
    this.answers.push({answeredAt: now, answerMillis});
    this.known = undefined;
  }

  /** Forgets what was measured under other conditions. */
  clear(): void {
    this.answers = [];
    this.known = undefined;
  }

  /** In milliseconds; 0 while too little was answered lately. */
  tailMillis(now: number): number {
    if (this.known && this.known.at === now) return this.known.tailMillis;
    this.dropOld(now);
    const times = Float64Array.from(this.answers, item => item.answerMillis);
    times.sort();
    const rank = Math.ceil(times.length * TAIL_SHARE) - 1;
    const tailMillis = times.length < TOO_FEW_ANSWERS ? 0 : times[rank];
    this.known = {at: now, tailMillis};
    return tailMillis;
  }

  private dropOld(now: number): void {
    const surplus = this.answers.length - this.leastAnswers;
    let drop = 0;
    for (const [index, {answeredAt}] of this.answers.entries()) {
      const ageMillis = now - answeredAt;
      const isOld = ageMillis > this.oldestMillis;
      const isReplaced = ageMillis > this.recentMillis && index < surplus;
      if (!isOld && !isReplaced) break;
      drop = index + 1;
    }
    if (drop > 0) this.answers = this.answers.slice(drop);
  }
}
