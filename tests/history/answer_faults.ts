import type {Random} from '../../src/utilities/random.js';
import type {VirtualClock} from '../../src/utilities/virtual_clock.js';

const LATEST_MILLIS = 3_000;
const HOLD_MILLIS = 300;

export const AnswerFault = {
  LATE: 'late',
  /** Each second call gets the answer to the one before it once more. */
  TWICE: 'twice',
  /** Two calls of a kind get each other's answers. */
  CROSSED: 'crossed',
} as const;
export type AnswerFault = (typeof AnswerFault)[keyof typeof AnswerFault];

/** An answer that waits for another one to be swapped with. */
interface Held {
  readonly answer: unknown;
  readonly deliver: (answer: unknown) => void;
}

/** Brings answers late, twice or to the wrong call while the fault is on. */
export class AnswerFaults {
  fault?: AnswerFault;
  private readonly earlier = new Map<string, unknown>();
  private readonly held = new Map<string, Held>();

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: Random,
  ) {}

  /** What arrives in place of the answer to a call of the kind. */
  async pass<Answer>(kind: string, answer: Answer): Promise<Answer> {
    if (this.fault === AnswerFault.LATE) await this.pause();
    if (this.fault === AnswerFault.TWICE) return this.repeat(kind, answer);
    if (this.fault === AnswerFault.CROSSED) return this.cross(kind, answer);
    return answer;
  }

  private repeat<Answer>(kind: string, answer: Answer): Answer {
    const before = this.earlier.get(kind) as Answer | undefined;
    if (before === undefined) this.earlier.set(kind, answer);
    else this.earlier.delete(kind);
    return before ?? answer;
  }

  private cross<Answer>(kind: string, answer: Answer): Promise<Answer> {
    const other = this.held.get(kind);
    this.held.delete(kind);
    other?.deliver(answer);
    if (other) return Promise.resolve(other.answer as Answer);
    return new Promise(resolve => {
      const held = {answer, deliver: resolve as Held['deliver']};
      this.held.set(kind, held);
      this.clock.schedule(HOLD_MILLIS, () => {
        if (this.held.get(kind) !== held) return;
        this.held.delete(kind);
        resolve(answer);
      });
    });
  }

  private pause(): Promise<void> {
    const delayMillis = this.random.below(LATEST_MILLIS);
    return new Promise(resolve => this.clock.schedule(delayMillis, resolve));
  }
}
