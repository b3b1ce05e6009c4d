import type {Clock, Timer} from '../../src/utilities/clock.js';
import type {VirtualClock} from '../../src/utilities/virtual_clock.js';

const ProcessState = {
  RUNNING: 'running',
  FROZEN: 'frozen',
  DEAD: 'dead',
} as const;
type ProcessState = (typeof ProcessState)[keyof typeof ProcessState];

/**
 * Time as one process sees it. While the process is frozen its timers and
 * what arrives for it wait; time goes on. Once it is dead nothing runs any more.
 */
export class ProcessClock implements Clock {
  private state: ProcessState = ProcessState.RUNNING;
  private waiting: Array<() => void> = [];

  /** Resolves when the process dies. */
  readonly death: Promise<void>;
  private noteDeath!: () => void;

  constructor(private readonly base: VirtualClock) {
    this.death = new Promise(resolve => {
      this.noteDeath = resolve;
    });
  }

  get dead(): boolean {
    return this.state === ProcessState.DEAD;
  }

  now(): number {
    return this.base.now();
  }

  wallTime(): number {
    return this.base.wallTime();
  }

  schedule(delayMillis: number, action: () => void): Timer {
    return this.base.schedule(delayMillis, () => this.run(action));
  }

  /** Runs the action in the process: now, after a freeze, or never. */
  run(action: () => void): void {
    if (this.state === ProcessState.RUNNING) action();
    else if (this.state === ProcessState.FROZEN) this.waiting.push(action);
  }

  /** Resolves when the process runs; never if it is dead. */
  resumed(): Promise<void> {
    if (this.state === ProcessState.RUNNING) return Promise.resolve();
    return new Promise(resolve => this.run(resolve));
  }

  freeze(): void {
    if (this.state === ProcessState.RUNNING) this.state = ProcessState.FROZEN;
  }

  thaw(): void {
    if (this.state !== ProcessState.FROZEN) return;
    this.state = ProcessState.RUNNING;
    const waiting = this.waiting;
    this.waiting = [];
    for (const action of waiting) action();
  }

  kill(): void {
    this.state = ProcessState.DEAD;
    this.waiting = [];
    this.noteDeath();
  }
}
