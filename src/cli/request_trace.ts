import {formatFields} from './log_line.js';
import type {LogLine} from './log_line.js';

/** System events that may affect many requests at once. */
const SYSTEM_EVENTS: ReadonlySet<string> = new Set([
  'POOL_OWNED',
  'POOL_LOST',
  'COMMIT_RETRIED',
  'LOG_LINES_DROPPED',
]);
/** Worker events, shown only for workers on which the request had a run. */
const WORKER_EVENTS: ReadonlySet<string> = new Set([
  'WORKER_GONE',
  'WORKER_JOINED',
  'WORKER_RESTED',
]);
/** Limits the related lines in a trace: the lines of a burst are alike. */
const MAXIMUM_RELATED_LINES = 40;
/** A run with a smaller processor share counts as slowed. */
const SLOWED_BELOW_PERCENT = 80;
const LONGEST_RUN_COUNT = 3;
/** Characters that may follow the id in a longer id, such as a task's. */
const ID_SEPARATORS = new Set(['.', '#', '/']);

/** One run of a task, as far as the log lines show it. */
interface TracedRun {
  readonly task: string;
  readonly run: number;
  readonly worker: string;
  readonly placedAt: number;
  startedAt?: number;
  endedAt?: number;
  /** The slow run beside which this one was started. */
  copyOf?: number;
  outcome: string;
  /** Allowed processor shares, in the order in which they were set. */
  readonly paces: Array<{readonly time: number; readonly percent: number}>;
}

/** Phase of a request at a point in time; the first that applies counts. */
const RequestPhase = {
  AT_WORK: 'at work',
  SLOWED: 'slowed for what serves',
  STARTING: 'starting',
  WAITING: 'waiting for a place',
} as const;
type RequestPhase = (typeof RequestPhase)[keyof typeof RequestPhase];

export interface PhaseDuration {
  readonly part: string;
  readonly millis: number;
}

export interface TraceSummary {
  readonly id: string;
  /** Time from the first line to the end of the request, by phase. */
  readonly parts: readonly PhaseDuration[];
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
    readonly copyOf?: number;
  }>;
  /** True if processes reported dropped log lines during this time. */
  readonly isIncomplete: boolean;
}

/** Merges the log lines of all processes about one request or workflow. */
export class RequestTrace {
  private readonly ownLines: LogLine[] = [];
  private readonly relatedLines: LogLine[] = [];

  constructor(private readonly id: string) {}

  add(line: LogLine): void {
    const {name} = line;
    if (this.isOwnLine(line)) this.ownLines.push(line);
    else if (SYSTEM_EVENTS.has(name) || WORKER_EVENTS.has(name)) {
      this.relatedLines.push(line);
    }
  }

  get isEmpty(): boolean {
    return this.ownLines.length === 0;
  }

  /** Returns the request's own lines and the related events, sorted by time. */
  lines(): LogLine[] {
    const {first, last} = this.timeSpan();
    const workers = new Set(this.runs().map(run => run.worker));
    const related = this.relatedLines.filter(({time, name, fields}) => {
      if (time < first || time > last) return false;
      return !WORKER_EVENTS.has(name) || workers.has(String(fields.worker));
    });
    const shown = [
      ...this.ownLines,
      ...related.slice(0, MAXIMUM_RELATED_LINES),
    ];
    return shown.sort((left, right) => left.time - right.time);
  }

  summarize(): TraceSummary {
    const {first, last} = this.timeSpan();
    const runs = this.runs();
    const outcomes: Record<string, number> = {};
    for (const {outcome} of runs) {
      outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
    }
    const longest = runs
      .map(run => {
        const {task, worker, outcome, copyOf} = run;
        const millis = (run.endedAt ?? last) - run.placedAt;
        const slowedMillis = slowedMillisOf(run, last);
        const traced = {task, run: run.run, worker, outcome, millis};
        const cause = copyOf === undefined ? {} : {copyOf};
        return {...traced, slowedMillis, ...cause};
      })
      .sort((left, right) => right.millis - left.millis)
      .slice(0, LONGEST_RUN_COUNT);
    return {
      id: this.id,
      parts: divideByPhase(runs, first, last),
      tookMillis: last - first,
      runs: runs.length,
      outcomes,
      longest,
      isIncomplete: this.lines().some(({name}) => name === 'LOG_LINES_DROPPED'),
    };
  }

  private isOwnLine({fields}: LogLine): boolean {
    const {id} = this;
    return Object.values(fields).some(value => {
      if (value === id) return true;
      if (typeof value !== 'string' || !value.startsWith(id)) return false;
      return ID_SEPARATORS.has(value[id.length]);
    });
  }

  /** Returns the times of the first line and of the end, or else the last line. */
  private timeSpan(): {first: number; last: number} {
    const times = this.ownLines.map(({time}) => time);
    const end = this.ownLines.find(({name}) => name === 'WORKFLOW_ENDED');
    const first = Math.min(...times);
    return {first, last: end?.time ?? Math.max(...times)};
  }

  private runs(): TracedRun[] {
    const runs = new Map<string, TracedRun>();
    const orderedLines = [...this.ownLines].sort((a, b) => a.time - b.time);
    for (const {name, time, fields} of orderedLines) {
      const task = String(fields.task);
      const number = Number(fields.run);
      const key = `${task}#${number}`;
      const run = runs.get(key);
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
      if (!run) continue;
      if (name === 'START_SETTLED') run.startedAt ??= time;
      if (name === 'COPY_STARTED') run.copyOf = Number(fields.copyOf);
      if (name === 'TASK_PACED') {
        run.paces.push({time, percent: Number(fields.percent)});
      }
      const outcome = outcomeOf(name, fields);
      if (outcome === undefined || run.endedAt !== undefined) continue;
      run.endedAt = time;
      run.outcome = outcome;
    }
    return [...runs.values()];
  }
}

/** Returns the trace as readable text. */
export function formatTrace(trace: RequestTrace): string {
  const summary = trace.summarize();
  const lines = trace.lines();
  const begin = lines[0].time;
  const text = [
    `${summary.id}: ${formatSeconds(summary.tookMillis)} from its first line to its end`,
  ];
  for (const {part, millis} of summary.parts) {
    text.push(`  ${formatSeconds(millis).padStart(9)}  ${part}`);
  }
  const outcomes = Object.entries(summary.outcomes);
  if (outcomes.length > 0) {
    const counts = outcomes.map(([outcome, count]) => `${count} ${outcome}`);
    text.push(`${summary.runs} runs: ${counts.join(', ')}`, 'Longest runs:');
  }
  for (const run of summary.longest) {
    const slowed =
      run.slowedMillis > 0
        ? `, slowed for ${formatSeconds(run.slowedMillis)}`
        : '';
    const copy =
      run.copyOf === undefined ? '' : `, a copy of run ${run.copyOf}`;
    text.push(
      `  ${run.task}#${run.run} on ${run.worker}: ${formatSeconds(run.millis)}, ${run.outcome}${slowed}${copy}`,
    );
  }
  if (summary.isIncomplete)
    text.push('Some processes dropped log lines during this time.');
  text.push('');
  for (const line of lines) {
    const offset = `+${((line.time - begin) / 1_000).toFixed(3)}`;
    const fields = formatFields(line.fields);
    text.push(`${offset.padStart(9)} ${line.process} ${line.name} ${fields}`);
  }
  return text.join('\n');
}

function outcomeOf(
  name: string,
  fields: LogLine['fields'],
): string | undefined {
  if (name === 'RUN_ENDED') return String(fields.outcome);
  if (name === 'RUN_LOST') return `lost (${String(fields.reason)})`;
  if (name === 'RUN_REFUSED') return `refused (${String(fields.reason)})`;
  return undefined;
}

/** Divides the time by phase; of several runs, the most advanced counts. */
function divideByPhase(
  runs: readonly TracedRun[],
  first: number,
  last: number,
): PhaseDuration[] {
  const boundaries = new Set([first, last]);
  for (const run of runs) {
    const {placedAt, startedAt = placedAt, endedAt = last, paces} = run;
    const times = [
      placedAt,
      startedAt,
      endedAt,
      ...paces.map(({time}) => time),
    ];
    for (const time of times) {
      if (time > first && time < last) boundaries.add(time);
    }
  }
  const ordered = [...boundaries].sort((left, right) => left - right);
  const millisByPhase = new Map<RequestPhase, number>();
  for (const [index, from] of ordered.entries()) {
    const until = ordered[index + 1] ?? from;
    const phase = phaseAt(runs, from);
    millisByPhase.set(phase, (millisByPhase.get(phase) ?? 0) + until - from);
  }
  return Object.values(RequestPhase)
    .filter(phase => (millisByPhase.get(phase) ?? 0) > 0)
    .map(phase => ({part: phase, millis: millisByPhase.get(phase)!}));
}

function phaseAt(runs: readonly TracedRun[], time: number): RequestPhase {
  let isSlowed = false;
  let isStarting = false;
  for (const run of runs) {
    if (run.placedAt > time || (run.endedAt ?? Infinity) <= time) continue;
    if ((run.startedAt ?? Infinity) > time) isStarting = true;
    else if (processorPercentAt(run, time) < SLOWED_BELOW_PERCENT)
      isSlowed = true;
    else return RequestPhase.AT_WORK;
  }
  if (isSlowed) return RequestPhase.SLOWED;
  return isStarting ? RequestPhase.STARTING : RequestPhase.WAITING;
}

function processorPercentAt({paces}: TracedRun, time: number): number {
  return paces.findLast(pace => pace.time <= time)?.percent ?? 100;
}

function slowedMillisOf(run: TracedRun, last: number): number {
  let millis = 0;
  for (const [index, {time, percent}] of run.paces.entries()) {
    if (percent >= SLOWED_BELOW_PERCENT) continue;
    millis += (run.paces[index + 1]?.time ?? run.endedAt ?? last) - time;
  }
  return millis;
}

function formatSeconds(millis: number): string {
  return `${(millis / 1_000).toFixed(3)} s`;
}
