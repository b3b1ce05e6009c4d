import type {ImageInterference} from '../image_interference.js';
import type {PlacementCandidate} from '../placement_candidate.js';
import type {WaitingStep} from '../waiting_steps.js';
import {HIGH_TAIL_RATIO} from '../worker_scores.js';
import type {StepSpec} from '../workflow_types.js';
import type {EndTimeline} from './end_timeline.js';

export interface GapSearchOptions {
  readonly waiting: WaitingStep;
  readonly candidates: readonly PlacementCandidate[];
  readonly timeline: EndTimeline;
  readonly interference: ImageInterference;
  readonly now: number;
}

/** Tasks of a step that are expected to fit on a worker at that time. */
export interface Gap {
  readonly worker: string;
  readonly tasks: number;
  readonly expectedAt: number;
}

export interface GapLimits {
  readonly maximumWorkers: number;
  readonly tasks: number;
}

/** Finds the workers on which the tasks of a step are expected to fit soonest. */
export class GapSearch {
  private readonly step: StepSpec;
  private readonly tasksOfStep = new Map<string, number>();

  constructor(private readonly options: GapSearchOptions) {
    const {occurrence, step, workflow} = options.waiting;
    this.step = workflow.spec.steps[step];
    for (const {placements} of occurrence.tasks[step]) {
      for (const {worker} of placements) {
        this.tasksOfStep.set(worker, (this.tasksOfStep.get(worker) ?? 0) + 1);
      }
    }
  }

  /** Returns one task per worker; for a gang, all members or none. */
  find({maximumWorkers, tasks}: GapLimits): Gap[] {
    if (maximumWorkers <= 0 || tasks <= 0) return [];
    const {now} = this.options;
    if (this.step.gang) return this.findForGang({maximumWorkers, tasks});
    // Where a task fits now, something other than capacity keeps it away.
    return this.slots(1)
      .filter(({expectedAt}) => expectedAt > now)
      .slice(0, Math.min(maximumWorkers, tasks));
  }

  private findForGang({maximumWorkers, tasks}: GapLimits): Gap[] {
    const tasksOn = new Map<string, number>();
    let members = 0;
    let expectedAt = 0;
    for (const slot of this.slots(tasks)) {
      const onWorker = tasksOn.get(slot.worker) ?? 0;
      if (onWorker === 0 && tasksOn.size === maximumWorkers) continue;
      tasksOn.set(slot.worker, onWorker + 1);
      expectedAt = slot.expectedAt;
      if (++members === tasks) break;
    }
    if (members < tasks || expectedAt <= this.options.now) return [];
    return [...tasksOn].map(([worker, count]) => ({
      worker,
      tasks: count,
      expectedAt,
    }));
  }

  /** Returns places for single tasks, the soonest first. */
  private slots(maximumPerWorker: number): Gap[] {
    const {candidates, timeline} = this.options;
    const slots: Gap[] = [];
    for (const candidate of candidates) {
      const maximum = Math.min(maximumPerWorker, this.maximumOn(candidate));
      if (maximum < 1) continue;
      const worker = candidate.view.key;
      for (const expectedAt of timeline.fitTimes(
        candidate,
        this.step,
        maximum,
      )) {
        slots.push({worker, tasks: 1, expectedAt});
      }
    }
    return slots.sort((left, right) => left.expectedAt - right.expectedAt);
  }

  /** Returns how many tasks the worker may take if capacity allows it. */
  private maximumOn(candidate: PlacementCandidate): number {
    const {requiredLabel, spreadLimit, fills} = this.step;
    const {view, allowedTasks} = candidate;
    const {labels} = view.traits;
    if (requiredLabel !== '' && !labels.includes(requiredLabel)) return 0;
    if (fills && !this.hasLowTails(candidate)) return 0;
    if (spreadLimit === 0) return allowedTasks;
    const tasksHere = this.tasksOfStep.get(view.key) ?? 0;
    return Math.min(allowedTasks, spreadLimit - tasksHere);
  }

  /** A tail that is high now has no expected end. */
  private hasLowTails(candidate: PlacementCandidate): boolean {
    const {interference} = this.options;
    const tail = candidate.expectedTailRatio(this.step, interference);
    return tail === 0 || (!candidate.view.isPaced && tail <= HIGH_TAIL_RATIO);
  }
}
