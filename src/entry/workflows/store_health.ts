import type {Clock} from '../../utilities/clock.js';

/** Calls that fail for this long in a row mean that the store is away. */
const AWAY_MILLIS = 600;
/** While it is away one call in this time tries whether it is back. */
const TRIAL_MILLIS = 250;

/** Whether calls to the store are worth their time. */
export class StoreHealth {
  private failingSince: number | undefined;
  private triedAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  noteSuccess(): void {
    this.failingSince = undefined;
  }

  /** A call that was sent at this time has failed. */
  noteFailure(sentAt: number): void {
    this.failingSince ??= sentAt;
  }

  get isAway(): boolean {
    const since = this.failingSince;
    return since !== undefined && this.clock.now() - since > AWAY_MILLIS;
  }

  /** Whether a call may be made now. */
  mayTry(): boolean {
    if (!this.isAway) return true;
    const now = this.clock.now();
    if (now - this.triedAt < TRIAL_MILLIS) return false;
    this.triedAt = now;
    return true;
  }
}
