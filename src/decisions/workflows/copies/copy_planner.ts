import type {PlacementCandidate} from '../placement_candidate.js';
import type {PlacementRound, PlannedRun} from '../placement_planner.js';
import type {WaitingStep} from '../waiting_steps.js';
import {WorkerScores} from '../worker_scores.js';
import type {TaskReference, Workflow} from '../workflow.js';
import {CopyPolicy} from './copy_policy.js';
import type {RunDurations} from './copy_policy.js';

/**
 * Copies use at most this share of the processors that no other run uses, so
 * that they don't delay tasks that become ready meanwhile.
 */
const MAXIMUM_SHARE_OF_UNUSED = 0.1;

/** Input of a round of placement that allows copies. */
export interface CopyRound {
  readonly durations: RunDurations;
  /** Undefined for a worker that no agent has reported. */
  readonly rackOf: (worker: string) => string | undefined;
}

/**
 * Places copies of stragglers on the capacity that is left after all waiting
 * tasks were placed.
 *
 * Load pattern: bursts fill the pool within seconds, and a copy that takes the
 * place of a waiting task delays another workflow.
 */
export class CopyPlanner {
  constructor(
    private readonly round: PlacementRound,
    private readonly copies: CopyRound,
    private readonly candidates: readonly PlacementCandidate[],
  ) {}

  plan(): PlannedRun[] {
    const {durations} = this.copies;
    const policy = new CopyPolicy({...this.round, durations});
    const stragglers = policy.findStragglers();
    if (stragglers.length === 0) return [];
    const planned: PlannedRun[] = [];
    let budget = this.budgetMilliprocessors();
    for (const step of stragglers) {
      for (const reference of step.tasks) {
        const {milliprocessors} = reference.step.size;
        if (milliprocessors > budget) break;
        const run = this.placeCopy(step, reference);
        if (!run) continue;
        budget -= milliprocessors;
        planned.push(run);
      }
    }
    return planned;
  }

  private placeCopy(
    straggling: WaitingStep,
    reference: TaskReference,
  ): PlannedRun | undefined {
    const {placements} = reference.task;
    const used = new Set(placements.map(({worker}) => worker));
    const racks = new Set(placements.map(({worker}) => this.rackOf(worker)));
    const others = this.candidates.filter(({view}) => !used.has(view.key));
    const onOtherRacks = others.filter(
      ({view}) => !racks.has(view.traits.rack),
    );
    for (const candidates of [onOtherRacks, others]) {
      const candidate = this.reserveBest(straggling, reference, candidates);
      if (candidate) return {reference, worker: candidate.view};
    }
    return undefined;
  }

  private reserveBest(
    straggling: WaitingStep,
    reference: TaskReference,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    const {interference, workersThatFailed} = this.round;
    const scores = new WorkerScores({
      waiting: straggling,
      candidates,
      interference,
      mayInterfere: false,
      workersThatFailed,
    });
    return scores.reserveBest(reference);
  }

  private rackOf(worker: string): string | undefined {
    return this.copies.rackOf(worker);
  }

  /** Returns the processors that further copies may use. */
  private budgetMilliprocessors(): number {
    const used = copiesMilliprocessors(this.round.workflows);
    let unused = used;
    for (const {expectedUnusedMilliprocessors} of this.candidates) {
      unused += Math.max(0, expectedUnusedMilliprocessors);
    }
    return MAXIMUM_SHARE_OF_UNUSED * unused - used;
  }
}

/** Returns the processors of second runs that are placed. */
function copiesMilliprocessors(workflows: Iterable<Workflow>): number {
  let sum = 0;
  for (const {spec, occurrences} of workflows) {
    for (const [index, {speculative, size}] of spec.steps.entries()) {
      if (!speculative) continue;
      for (const {tasks} of occurrences.values()) {
        const count = tasks[index].filter(
          ({placements}) => placements.length > 1,
        ).length;
        sum += count * size.milliprocessors;
      }
    }
  }
  return sum;
}
