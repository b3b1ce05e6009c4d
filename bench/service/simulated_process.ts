import type {Clock} from '../../src/utilities/clock.js';

/** A process that can be killed, frozen and thawed. */
export class SimulatedProcess {
  private dead = false;
  private frozen = false;
  private held: Array<() => void> = [];

  constructor(protected readonly clock: Clock) {}

  get isAlive(): boolean {
    return !this.dead;
  }

  get isFrozen(): boolean {
    return this.frozen;
  }

  /** Runs what arrives here: now, after the thaw, or never. */
  protected receive(action: () => void): void {
    if (this.dead) return;
    if (this.frozen) {
      this.held.push(action);
      return;
    }
    action();
  }

  /** Runs an action of the process itself after the delay. */
  protected later(delayMillis: number, action: () => void): void {
    this.clock.schedule(delayMillis, () => this.receive(action));
  }

  kill(): void {
    this.dead = true;
    this.held = [];
  }

  freeze(): void {
    this.frozen = true;
  }

  thaw(): void {
    this.frozen = false;
    const held = this.held;
    this.held = [];
    for (const action of held) this.receive(action);
  }
}
