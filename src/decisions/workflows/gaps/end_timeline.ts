import {
  addResources,
  fitsInto,
  NO_RESOURCES,
} from '../../../utilities/resources.js';
import type {Resources} from '../../../utilities/resources.js';
import type {DurationSource} from '../durations/duration_source.js';
import {
  LATENCY_CRITICAL_USE_SHARE,
  MINIMUM_UNUSED_SHARE,
} from '../placement_candidate.js';
import type {PlacementCandidate} from '../placement_candidate.js';
import type {TaskState} from '../task_state.js';
import {reservedSize} from '../worker_view.js';
import type {WorkerView} from '../worker_view.js';
import type {
  Occurrence,
  PlacedRun,
  TaskReference,
  Workflow,
} from '../workflow.js';
import type {StepSpec} from '../workflow_types.js';

/** Assumed where no usable estimate is known, and for a run being stopped. */
const UNKNOWN_DURATION_MILLIS = 1_000;
const MAXIMUM_DURATION_MILLIS = 86_400_000;
const FULL_PERCENT = 100;

/** Capacity in the two measures in which placement counts it. */
export interface Room {
  /** Capacity that is not reserved. */
  readonly free: Resources;
  /** Processors that are expected to be unused. */
  readonly unusedMilliprocessors: number;
}

interface ExpectedEnd extends Room {
  readonly at: number;
}

/**
 * The expected ends of the runs on each worker, as seen at one time, and so the
 * times at which tasks of a given size are expected to fit.
 *
 * Load pattern: short runs end all the time, but what one of them leaves is too
 * small for a large task; the worker on which several end soon is the one worth
 * waiting for.
 */
export class EndTimeline {
  /** By the tasks of the step. */
  private readonly highMillis = new Map<readonly TaskState[], number>();
  /** Tasks of this round, whose runs are not placed yet. */
  private readonly planned = new Map<WorkerView, TaskReference[]>();

  constructor(
    private readonly durations: DurationSource,
    private readonly now: number,
  ) {}

  /**
   * Returns the time within which a task surely ends; Infinity if there is no
   * usable estimate.
   */
  highMillisOf(
    workflow: Workflow,
    occurrence: Occurrence,
    step: number,
  ): number {
    const tasks = occurrence.tasks[step];
    const cached = this.highMillis.get(tasks);
    if (cached !== undefined) return cached;
    const estimate = this.durations.estimate(workflow, occurrence.number, step);
    const millis = estimate.highMillis > 0 ? estimate.highMillis : Infinity;
    this.highMillis.set(tasks, millis);
    return millis;
  }

  /** Adds the run of a task that this round places on the worker. */
  addPlanned(view: WorkerView, reference: TaskReference): void {
    const planned = this.planned.get(view);
    if (planned) planned.push(reference);
    else this.planned.set(view, [reference]);
  }

  /** Returns the room that runs on the worker are expected to leave by then. */
  releasedBy(view: WorkerView, at: number): Room {
    let released: Room = {free: NO_RESOURCES, unusedMilliprocessors: 0};
    for (const [name, run] of view.placed) {
      if (this.endOf(view, name, run) > at) continue;
      released = addRooms(released, roomOf(run.reference.step));
    }
    return released;
  }

  /**
   * Returns the times at which the first, the second, and so on of the tasks
   * fit beside each other; as many as are expected to fit at all.
   */
  fitTimes(
    candidate: PlacementCandidate,
    step: StepSpec,
    maximum: number,
  ): number[] {
    const times: number[] = [];
    let room: Room = {
      free: candidate.free,
      unusedMilliprocessors: candidate.expectedUnusedMilliprocessors,
    };
    let at = this.now;
    const ends = this.endsOf(candidate.view)[Symbol.iterator]();
    while (times.length < maximum) {
      if (fitTasks(step, times.length + 1, room)) {
        times.push(at);
        continue;
      }
      const {value: end, done} = ends.next();
      if (done) break;
      room = addRooms(room, end);
      at = Math.max(at, end.at);
    }
    return times;
  }

  private endsOf(view: WorkerView): ExpectedEnd[] {
    const ends: ExpectedEnd[] = [];
    for (const [name, run] of view.placed) {
      const at = this.endOf(view, name, run);
      if (at < Infinity) ends.push({at, ...roomOf(run.reference.step)});
    }
    for (const reference of this.planned.get(view) ?? []) {
      if (reference.step.lasting) continue;
      const at = this.now + this.runMillis(reference);
      ends.push({at, ...roomOf(reference.step)});
    }
    return ends.sort((left, right) => left.at - right.at);
  }

  private endOf(view: WorkerView, name: string, run: PlacedRun): number {
    const {now} = this;
    const {startedAt, placement, reference} = run;
    if (placement.stopping) return now + UNKNOWN_DURATION_MILLIS;
    if (reference.step.lasting) return Infinity;
    const high = this.runMillis(reference);
    if (startedAt === undefined) {
      // An earlier owner may have started it, so that only progress is known.
      const percent = view.running.get(name)?.percent ?? 0;
      return now + high * (1 - percent / FULL_PERCENT);
    }
    const end = startedAt + high;
    // An overdue run is expected to take as long again as it is overdue, so
    // that the expected end of one that hangs moves away.
    return end >= now ? end : now + (now - end);
  }

  private runMillis({workflow, occurrence, name}: TaskReference): number {
    const high = this.highMillisOf(workflow, occurrence, name.step);
    if (high < Infinity) return Math.min(high, MAXIMUM_DURATION_MILLIS);
    return UNKNOWN_DURATION_MILLIS;
  }
}

/** True if this number of tasks fits into the room. */
export function fitTasks(step: StepSpec, tasks: number, room: Room): boolean {
  const needed = roomFor(step, tasks);
  if (!fitsInto(needed.free, room.free)) return false;
  return (
    !step.fills || needed.unusedMilliprocessors <= room.unusedMilliprocessors
  );
}

/** Returns the room that placement requires for this number of tasks. */
export function roomFor(step: StepSpec, tasks: number): Room {
  const size = reservedSize(step);
  const {milliprocessors} = step.size;
  return {
    free: {
      milliprocessors: tasks * size.milliprocessors,
      memoryMegabytes: tasks * size.memoryMegabytes,
      accelerators: tasks * size.accelerators,
    },
    unusedMilliprocessors: (tasks - 1 + MINIMUM_UNUSED_SHARE) * milliprocessors,
  };
}

export function addRooms(left: Room, right: Room): Room {
  return {
    free: addResources(left.free, right.free),
    unusedMilliprocessors:
      left.unusedMilliprocessors + right.unusedMilliprocessors,
  };
}

/** Returns the room that a run takes, as placement counts it. */
function roomOf(step: StepSpec): Room {
  const share = step.tailTargetMillis > 0 ? LATENCY_CRITICAL_USE_SHARE : 1;
  return {
    free: reservedSize(step),
    unusedMilliprocessors: share * step.size.milliprocessors,
  };
}
