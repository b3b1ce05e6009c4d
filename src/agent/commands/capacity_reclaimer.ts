import {chooseDisplaced} from '../../decisions/eviction/displacement.js';
import type {DisplacementCandidate} from '../../decisions/eviction/displacement.js';
import {Events} from '../../observability/events.js';
import {ResultCodes} from '../../observability/result_codes.js';
import type {Resources} from '../../utilities/resources.js';
import type {AgentContext} from '../agent_context.js';
import {AttemptPhase} from '../attempt_table.js';
import type {Attempt} from '../attempt_table.js';
import {evictionIntent} from './attempt_stopper.js';
import type {AttemptStopper} from './attempt_stopper.js';

/** How long an urgent start waits for tasks to checkpoint and stop. */
const EVICTION_DEADLINE_MILLIS = 2_000;

/** An urgent start that waits for capacity. */
interface CapacityRequest {
  readonly holder: string;
  readonly size: Resources;
  readonly deadlineAt: number;
  readonly settle: (reserved: boolean) => void;
}

/** Evicts tasks that are not urgent to free capacity for an urgent one. */
export class CapacityReclaimer {
  private waiting: CapacityRequest[] = [];

  constructor(
    private readonly context: AgentContext,
    private readonly stopper: AttemptStopper,
  ) {}

  /** Resolves to true if the size was reserved for the holder. */
  reserveByEviction(holder: string, size: Resources): Promise<boolean> {
    const {attempts, clock, ledger} = this.context;
    const candidates = this.candidates();
    const chosen = chooseDisplaced(size, ledger.freeFor(holder), candidates);
    if (chosen.length === 0) return Promise.resolve(false);
    ledger.claim(holder, size);
    for (const {key} of chosen) {
      const attempt = attempts.getByKey(key);
      if (attempt) this.displace(attempt, holder);
    }
    const deadlineAt = clock.now() + EVICTION_DEADLINE_MILLIS;
    return new Promise(settle => {
      this.waiting.push({holder, size, deadlineAt, settle});
    });
  }

  /** Continues starts whose capacity is free, and fails those past the deadline. */
  tick(now: number): void {
    const stillWaiting: CapacityRequest[] = [];
    for (const request of this.waiting) {
      if (!this.settle(request, now)) stillWaiting.push(request);
    }
    this.waiting = stillWaiting;
  }

  private settle(request: CapacityRequest, now: number): boolean {
    const {ledger} = this.context;
    const reserved = ledger.reserve(request.holder, request.size);
    if (!reserved && now < request.deadlineAt) return false;
    ledger.unclaim(request.holder);
    request.settle(reserved);
    return true;
  }

  private displace(attempt: Attempt, holder: string): void {
    const reason = `evicted to free capacity for the urgent attempt ${holder}`;
    const {logger} = this.context;
    logger.event(Events.TASK_EVICTED, {attempt: attempt.key, reason});
    const code = ResultCodes.DISPLACED.number;
    this.stopper.stop(attempt, evictionIntent(reason, code));
  }

  private candidates(): DisplacementCandidate[] {
    const now = this.context.clock.now();
    const candidates: DisplacementCandidate[] = [];
    for (const attempt of this.context.attempts.all()) {
      if (attempt.phase !== AttemptPhase.RUNNING) continue;
      if (attempt.urgent || !attempt.evictable) continue;
      const lostMillis = now - attempt.checkpointedAt;
      candidates.push({key: attempt.key, size: attempt.size, lostMillis});
    }
    return candidates;
  }
}
