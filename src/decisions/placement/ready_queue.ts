import {Urgency} from '../../settings/settings_types.js';
import type {Resources} from '../../utilities/resources.js';
import type {JobState} from '../jobs/job_state.js';

/** The tasks of one job that may be placed now. */
export interface ReadyJob {
  readonly job: JobState;
  /** Indexes of ready tasks; the last one is placed next. */
  readonly tasks: number[];
  /** Time since which no VM has had capacity; undefined if not blocked. */
  blockedSince: number | undefined;
}

/** Tasks that may be placed now, by urgency, team and submission order. */
export class ReadyQueue {
  private readonly byUrgency = {
    [Urgency.URGENT]: new Map<string, ReadyJob[]>(),
    [Urgency.NORMAL]: new Map<string, ReadyJob[]>(),
  };
  private waiting = 0;

  get size(): number {
    return this.waiting;
  }

  add(job: JobState, task: number): void {
    this.waiting++;
    const ready = this.readyJob(job);
    ready.tasks.push(task);
  }

  /** Adds all tasks of a new job; the first task is placed next. */
  addAll(job: JobState): void {
    const ready = this.readyJob(job);
    for (let task = job.tasks.length - 1; task >= 0; task--) {
      ready.tasks.push(task);
    }
    this.waiting += job.tasks.length;
  }

  /** Removes and returns the next task of the job. */
  take(ready: ReadyJob): number | undefined {
    const task = ready.tasks.pop();
    if (task === undefined) return undefined;
    this.waiting--;
    if (ready.tasks.length === 0) this.drop(ready.job);
    return task;
  }

  /** Removes a job and its remaining ready tasks. */
  drop(job: JobState): void {
    const {team, urgency} = job.specification;
    const jobs = this.byUrgency[urgency].get(team);
    const index = jobs?.findIndex(ready => ready.job === job) ?? -1;
    if (!jobs || index < 0) return;
    this.waiting -= jobs[index].tasks.length;
    jobs.splice(index, 1);
    if (jobs.length === 0) this.byUrgency[urgency].delete(team);
  }

  teams(urgency: Urgency): Iterable<string> {
    return this.byUrgency[urgency].keys();
  }

  /** The team's jobs with ready tasks, oldest first. */
  jobs(urgency: Urgency, team: string): readonly ReadyJob[] {
    return this.byUrgency[urgency].get(team) ?? [];
  }

  /** Returns the smallest amount of each resource that a ready job declares. */
  minimumSize(urgency: Urgency): Resources {
    let milliprocessors = Infinity;
    let memoryMegabytes = Infinity;
    let accelerators = Infinity;
    for (const jobs of this.byUrgency[urgency].values()) {
      for (const {job} of jobs) {
        const {size} = job.specification;
        milliprocessors = Math.min(milliprocessors, size.milliprocessors);
        memoryMegabytes = Math.min(memoryMegabytes, size.memoryMegabytes);
        accelerators = Math.min(accelerators, size.accelerators);
      }
    }
    return {milliprocessors, memoryMegabytes, accelerators};
  }

  private readyJob(job: JobState): ReadyJob {
    const {team, urgency} = job.specification;
    const teams = this.byUrgency[urgency];
    let jobs = teams.get(team);
    if (!jobs) teams.set(team, (jobs = []));
    let index = jobs.length;
    while (index > 0 && jobs[index - 1].job.sequence > job.sequence) index--;
    const before = jobs[index - 1];
    if (before?.job === job) return before;
    const added: ReadyJob = {job, tasks: [], blockedSince: undefined};
    jobs.splice(index, 0, added);
    return added;
  }
}
