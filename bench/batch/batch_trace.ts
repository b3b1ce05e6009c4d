import {JobKind} from '../../src/decisions/job_types.js';
import type {JobSpecification} from '../../src/decisions/job_types.js';
import {Urgency} from '../../src/settings/settings_types.js';
import type {Random} from '../../src/utilities/random.js';
import type {Resources} from '../../src/utilities/resources.js';

/** The work that a run offers, the same for every set of policies. */

export interface TaskKindTruth {
  readonly taskKind: string;
  readonly declared: Resources;
  /** What a task really uses. */
  readonly used: Resources;
  readonly meanRunMillis: number;
  /** Slowdown of each service beside it, on a VM that it fills. */
  readonly slowdowns: ReadonlyMap<string, number>;
}

export interface TracedJob {
  readonly arrivesAt: number;
  readonly specification: JobSpecification;
  /** True run time of each task in milliseconds on an idle VM. */
  readonly runMillis: readonly number[];
  readonly truth: TaskKindTruth;
}

export interface TraceOptions {
  readonly durationMillis: number;
  /** Offered work as a share of the processors left for batch. */
  readonly load: number;
  readonly batchMilliprocessors: number;
  readonly kinds: readonly TaskKindTruth[];
  readonly teams: readonly string[];
  readonly tasksPerJob: number;
  readonly urgentJobsPerSecond?: number;
  readonly urgentKind?: TaskKindTruth;
  readonly urgentFromMillis?: number;
}

const RUN_SIGMA = 0.6;

/** Draws the jobs of a run in order of their arrival. */
export function drawTrace(options: TraceOptions, random: Random): TracedJob[] {
  const jobs: TracedJob[] = [];
  const {durationMillis, load, batchMilliprocessors} = options;
  let at = 0;
  while (at < durationMillis) {
    const truth = options.kinds[random.below(options.kinds.length)];
    const work = truth.used.milliprocessors * truth.meanRunMillis;
    const rate = (load * batchMilliprocessors) / (work * options.tasksPerJob);
    at += random.exponential(1 / rate);
    const team = options.teams[random.below(options.teams.length)];
    const tasks = options.tasksPerJob;
    jobs.push(newJob(jobs.length, at, team, truth, tasks, random));
  }
  addUrgent(options, jobs, random);
  return jobs.sort((left, right) => left.arrivesAt - right.arrivesAt);
}

function addUrgent(
  options: TraceOptions,
  jobs: TracedJob[],
  random: Random,
): void {
  const {urgentJobsPerSecond = 0, urgentKind, urgentFromMillis = 0} = options;
  if (urgentJobsPerSecond === 0 || !urgentKind) return;
  let at = urgentFromMillis;
  while (at < options.durationMillis) {
    at += random.exponential(1000 / urgentJobsPerSecond);
    const team = options.teams[random.below(options.teams.length)];
    const job = newJob(jobs.length, at, team, urgentKind, 1, random);
    const {specification} = job;
    jobs.push({
      ...job,
      specification: {...specification, urgency: Urgency.URGENT},
    });
  }
}

function newJob(
  index: number,
  arrivesAt: number,
  team: string,
  truth: TaskKindTruth,
  taskCount: number,
  random: Random,
): TracedJob {
  const runMillis: number[] = [];
  for (let task = 0; task < taskCount; task++) {
    runMillis.push(random.lognormal(truth.meanRunMillis, RUN_SIGMA));
  }
  const specification: JobSpecification = {
    team,
    name: `job${index}`,
    kind: JobKind.BATCH,
    urgency: Urgency.NORMAL,
    taskKind: truth.taskKind,
    size: truth.declared,
    taskCount,
    expectedRunMillis: truth.meanRunMillis,
    payload: '',
    idempotent: true,
    maximumFailures: 5,
  };
  return {arrivesAt, specification, runMillis, truth};
}
