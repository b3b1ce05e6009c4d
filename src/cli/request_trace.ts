import {formatFields} from './log_line.js';
import type {LogLine} from './log_line.js';

/** Events of the system that explain what happens to many requests at once. */
const SURROUNDING_EVENTS: ReadonlySet<string> = new Set([
  'POOL_OWNED',
  'POOL_LOST',
  'COMMIT_RETRIED',
  'LOG_LINES_DROPPED',
]);
/** Events of a worker, told if the request had a run there. */
const WORKER_EVENTS: ReadonlySet<string> = new Set([
  'WORKER_GONE',
  'WORKER_JOINED',
  'WORKER_RESTED',
]);
/** Of the surrounding lines so many are shown; bursts of them are alike. */
const MOST_SURROUNDING = 40;
/** A run below this share of its speed counts as slowed. */
const SLOWED_PERCENT = 80;
const LONGEST_RUNS = 3;
/** What may follow an id where it begins a longer name. */
const AFTER_ID = new Set(['.', '#', '/']);

/** One start of a task, as far as the lines tell. */
interface TracedRun {
  readonly task: string;
  readonly run: number;
  readonly worker: string;
  readonly placedAt: number;
  begunAt?: number;
  endedAt?: number;
  outcome: string;
  /** Paces in the order in which they were set. */
  readonly paces: Array<{readonly time: number; readonly percent: number}>;
}

/** What happened at a time; the first that holds names it. */
const Part = {
  AT_WORK: 'at work',
  SLOWED: 'slowed for what serves',
  STARTING: 'starting',
  WAITING: 'waiting for a place',
} as const;
type Part = (typeof Part)[keyof typeof Part];

export interface TracedPart {
  readonly part: string;
  readonly millis: number;
}

export interface TraceSummary {
  readonly id: string;
  /** Where the time from the first to the last line went. */
  readonly parts: readonly TracedPart[];
  readonly tookMillis: number;
  readonly runs: number;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly longest: ReadonlyArray<{
    readonly task: string;
    readonly run: number;
    readonly worker: string;
    readonly outcome: string;
    readonly millis: number;
    readonly slowedMillis: number;
  }>;
  /** Whether processes said that they had dropped lines meanwhile. */
  readonly isIncomplete: boolean;
}

/** Joins the lines of all processes on one request or workflow. */
export class RequestTrace {
  private readonly own: LogLine[] = [];
  private readonly surrounding: LogLine[] = [];

  constructor(private readonly id: string) {}

  add(line: LogLine): void {
    const {name} = line;
    if (this.isOwn(line)) this.own.push(line);
    else if (SURROUNDING_EVENTS.has(name) || WORKER_EVENTS.has(name)) {
      this.surrounding.push(line);
    }
  }

  get isEmpty(): boolean {
    return this.own.length === 0;
  }

  /** The lines in order: its own, and those of what it depended on. */
  lines(): LogLine[] {
    const {first, last} = this.span();
    const workers = new Set(this.runs().map(run => run.worker));
    const near = this.surrounding.filter(({time, name, fields}) => {
      if (time < first || time > last) return false;
      return !WORKER_EVENTS.has(name) || workers.has(String(fields.worker));
    });
    const shown = [...this.own, ...near.slice(0, MOST_SURROUNDING)];
    return shown.sort((left, right) => left.time - right.time);
  }

  summarize(): TraceSummary {
    const {first, last} = this.span();
    const runs = this.runs();
    const outcomes: Record<string, number> = {};
    for (const {outcome} of runs) {
      outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
    }
    const longest = runs
      .map(run => {
        const {task, worker, outcome} = run;
        const millis = (run.endedAt ?? last) - run.placedAt;
        const slowedMillis = slowedMillisOf(run, last);
        return {task, run: run.run, worker, outcome, millis, slowedMillis};
      })
      .sort((left, right) => right.millis - left.millis)
      .slice(0, LONGEST_RUNS);
    return {
      id: this.id,
      parts: partsOf(runs, first, last),
      tookMillis: last - first,
      runs: runs.length,
      outcomes,
      longest,
      isIncomplete: this.lines().some(({name}) => name === 'LOG_LINES_DROPPED'),
    };
  }

  private isOwn({fields}: LogLine): boolean {
    const {id} = this;
    return Object.values(fields).some(value => {
      if (value === id) return true;
      if (typeof value !== 'string' || !value.startsWith(id)) return false;
      return AFTER_ID.has(value[id.length]);
    });
  }

  /** From its first line to its end, if that was written. */
  private span(): {first: number; last: number} {
    const times = this.own.map(({time}) => time);
    const end = this.own.find(({name}) => name === 'WORKFLOW_ENDED');
    const first = Math.min(...times);
    return {first, last: end?.time ?? Math.max(...times)};
  }

  private runs(): TracedRun[] {
    const runs = new Map<string, TracedRun>();
    const ordered = [...this.own].sort((a, b) => a.time - b.time);
    for (const {name, time, fields} of ordered) {
      const task = String(fields.task);
      const number = Number(fields.run);
      const key = `${task}#${number}`;
      const known = runs.get(key);
      if (name === 'RUN_PLACED') {
        runs.set(key, {
          task,
          run: number,
          worker: String(fields.worker),
          placedAt: time,
          outcome: 'open',
          paces: [],
        });
      }
      if (!known) continue;
      if (name === 'START_SETTLED') known.begunAt ??= time;
      if (name === 'TASK_PACED') {
        known.paces.push({time, percent: Number(fields.percent)});
      }
      const outcome = endOf(name, fields);
      if (outcome === undefined || known.endedAt !== undefined) continue;
      known.endedAt = time;
      known.outcome = outcome;
    }
    return [...runs.values()];
  }
}

/** The trace as people read it. */
export function formatTrace(trace: RequestTrace): string {
  const summary = trace.summarize();
  const lines = trace.lines();
  const begin = lines[0].time;
  const text = [
    `${summary.id}: ${seconds(summary.tookMillis)} from its first line to its end`,
  ];
  for (const {part, millis} of summary.parts) {
    text.push(`  ${seconds(millis).padStart(9)}  ${part}`);
  }
  const outcomes = Object.entries(summary.outcomes);
  if (outcomes.length > 0) {
    const counts = outcomes.map(([outcome, count]) => `${count} ${outcome}`);
    text.push(`${summary.runs} runs: ${counts.join(', ')}`, 'Longest runs:');
  }
  for (const run of summary.longest) {
    const slowed =
      run.slowedMillis > 0 ? `, slowed for ${seconds(run.slowedMillis)}` : '';
    text.push(
      `  ${run.task}#${run.run} on ${run.worker}: ${seconds(run.millis)}, ${run.outcome}${slowed}`,
    );
  }
  if (summary.isIncomplete)
    text.push('Some processes dropped lines meanwhile.');
  text.push('');
  for (const line of lines) {
    const offset = `+${((line.time - begin) / 1_000).toFixed(3)}`;
    const fields = formatFields(line.fields);
    text.push(`${offset.padStart(9)} ${line.process} ${line.name} ${fields}`);
  }
  return text.join('\n');
}

function endOf(name: string, fields: LogLine['fields']): string | undefined {
  if (name === 'RUN_ENDED') return String(fields.outcome);
  if (name === 'RUN_LOST') return `lost (${String(fields.reason)})`;
  if (name === 'RUN_REFUSED') return `refused (${String(fields.reason)})`;
  return undefined;
}

/** Divides the time by what the runs did; the best of them counts. */
function partsOf(
  runs: readonly TracedRun[],
  first: number,
  last: number,
): TracedPart[] {
  const edges = new Set([first, last]);
  for (const run of runs) {
    const {placedAt, begunAt = placedAt, endedAt = last, paces} = run;
    const times = [placedAt, begunAt, endedAt, ...paces.map(({time}) => time)];
    for (const time of times) {
      if (time > first && time < last) edges.add(time);
    }
  }
  const ordered = [...edges].sort((left, right) => left - right);
  const spent = new Map<Part, number>();
  for (const [index, from] of ordered.entries()) {
    const until = ordered[index + 1] ?? from;
    const part = partAt(runs, from);
    spent.set(part, (spent.get(part) ?? 0) + until - from);
  }
  return Object.values(Part)
    .filter(part => (spent.get(part) ?? 0) > 0)
    .map(part => ({part, millis: spent.get(part)!}));
}

function partAt(runs: readonly TracedRun[], time: number): Part {
  let isSlowed = false;
  let isStarting = false;
  for (const run of runs) {
    if (run.placedAt > time || (run.endedAt ?? Infinity) <= time) continue;
    if ((run.begunAt ?? Infinity) > time) isStarting = true;
    else if (percentAt(run, time) < SLOWED_PERCENT) isSlowed = true;
    else return Part.AT_WORK;
  }
  if (isSlowed) return Part.SLOWED;
  return isStarting ? Part.STARTING : Part.WAITING;
}

function percentAt({paces}: TracedRun, time: number): number {
  return paces.findLast(pace => pace.time <= time)?.percent ?? 100;
}

function slowedMillisOf(run: TracedRun, last: number): number {
  let millis = 0;
  for (const [index, {time, percent}] of run.paces.entries()) {
    if (percent >= SLOWED_PERCENT) continue;
    millis += (run.paces[index + 1]?.time ?? run.endedAt ?? last) - time;
  }
  return millis;
}

function seconds(millis: number): string {
  return `${(millis / 1_000).toFixed(3)} s`;
}
