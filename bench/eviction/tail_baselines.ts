import {GuardActionType} from '../../src/decisions/eviction/tail_policy.js';
import type {
  GuardAction,
  GuardView,
  TailPolicy,
} from '../../src/decisions/eviction/tail_policy.js';

/** Protects nothing. */
export class NoProtection implements TailPolicy {
  observe(): void {}

  tailMillis(): number {
    return 0;
  }

  admits(): boolean {
    return true;
  }

  decide(): GuardAction[] {
    return [];
  }

  slowdowns(): [] {
    return [];
  }
}

/** Gives every task the same share, whatever it does. */
export class StaticShare extends NoProtection {
  constructor(private readonly share: number) {
    super();
  }

  override decide(view?: GuardView): GuardAction[] {
    const actions: GuardAction[] = [];
    for (const {key, share} of view?.tasks ?? []) {
      if (share === this.share) continue;
      const type = GuardActionType.THROTTLE;
      const reason = 'static limit';
      actions.push({type, key, share: this.share, reason});
    }
    return actions;
  }
}
