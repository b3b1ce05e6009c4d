/** Encoding of workflows in the store. */
import {BaseError} from '../../utilities/base_error.js';
import {TaskState} from './task_state.js';
import {Workflow} from './workflow.js';
import type {StepSpec, WorkflowSpec, WorkflowState} from './workflow_types.js';

/** Thrown if a record in the store cannot be decoded. */
export const WorkflowRecordError = BaseError.subclass('WorkflowRecordError');

/** A task: 0 if untouched, 1 if done without placements, else its values. */
type TaskRow =
  | 0
  | 1
  | [
      lastRun: number,
      failures: number,
      done: 0 | 1,
      checkpoint: string,
      placements: Array<[run: number, worker: number, stopping: 0 | 1]>,
    ];

interface ProgressRecord {
  readonly state?: WorkflowState;
  readonly endedAt?: number;
  /** Keys of workers; rows refer to them by index. */
  readonly workers: string[];
  readonly occurrences: Array<[number: number, tasks: TaskRow[][]]>;
}

/** The record kept of a workflow that has ended and has no placed runs. */
export interface EndedWorkflow {
  readonly state: WorkflowState;
  /** Calendar time in milliseconds since 1970. */
  readonly endedAtMillis: number;
}

/** Begins every record of a refused workflow, and no other record. */
const REFUSAL_START = '{"refused":true,';

/** Kept in place of the specification of a workflow that was refused. */
export interface RefusedWorkflow {
  /** Calendar time of the Retry-After, in milliseconds since 1970. */
  readonly retryAtMillis: number;
}

/**
 * Kept in place of a workflow that was cancelled before it was stored. Earlier
 * versions take it for a refusal.
 */
export const TOMBSTONE = `${REFUSAL_START}"cancelled":true}`;

export function isTombstone(text: string): boolean {
  return text === TOMBSTONE;
}

export function encodeRefusal({retryAtMillis}: RefusedWorkflow): string {
  return JSON.stringify({refused: true, retryAtMillis});
}

export function encodeSpec(spec: WorkflowSpec): string {
  return JSON.stringify(spec);
}

/** Replaces the specification, which is not needed after the end. */
export function encodeEnded({state, endedAtMillis}: EndedWorkflow): string {
  return JSON.stringify({state, endedAtMillis});
}

/**
 * True for the record of a workflow that was refused, or cancelled before it was
 * stored: it is not known otherwise.
 */
export function isRefusal(text: string): boolean {
  return text.startsWith(REFUSAL_START);
}

/** @throws WorkflowRecordError */
export function decodeRefusal(text: string): RefusedWorkflow {
  return parse<RefusedWorkflow>(text);
}

/** @throws WorkflowRecordError */
export function decodeSpec(text: string): WorkflowSpec {
  const spec = parse<WorkflowSpec>(text);
  if (Array.isArray(spec.steps))
    return {...spec, steps: spec.steps.map(withSoundTarget)};
  throw new WorkflowRecordError('The record of a workflow has no steps.');
}

/** Earlier versions accepted and stored any number; infinity became null. */
function withSoundTarget(step: StepSpec): StepSpec {
  const {tailTargetMillis} = step;
  const isSound = Number.isFinite(tailTargetMillis) && tailTargetMillis >= 0;
  return isSound ? step : {...step, tailTargetMillis: 0};
}

/** Undefined for the specification of a workflow that has not ended. */
export function decodeEnded(text: string): EndedWorkflow | undefined {
  const record = parse<Partial<EndedWorkflow>>(text);
  const {state, endedAtMillis} = record;
  if (state === undefined || endedAtMillis === undefined) return undefined;
  return {state, endedAtMillis};
}

/** Encodes the progress of a workflow, without its specification. */
export function encodeProgress(workflow: Workflow): string {
  const workers: string[] = [];
  const record: ProgressRecord = {
    ...(workflow.isOpen
      ? {}
      : {state: workflow.state, endedAt: workflow.endedAtMillis}),
    workers,
    occurrences: [...workflow.occurrences.values()].map(occurrence => [
      occurrence.number,
      occurrence.tasks.map(tasks =>
        tasks.map(task => encodeTask(task, workers)),
      ),
    ]),
  };
  return JSON.stringify(record);
}

/** @throws WorkflowRecordError */
export function decodeWorkflow(
  spec: WorkflowSpec,
  progress: string | undefined,
): Workflow {
  const workflow = new Workflow(spec);
  if (progress === undefined) return workflow;
  const record = parse<ProgressRecord>(progress);
  for (const [number, steps] of record.occurrences) {
    const occurrence = workflow.openOccurrence(number);
    for (const [step, rows] of steps.entries()) {
      for (const [index, row] of rows.entries()) {
        decodeTask(row, occurrence.tasks[step][index], record.workers);
      }
    }
  }
  const {state, endedAt = 0} = record;
  if (state !== undefined) workflow.restoreEnd(state, endedAt);
  return workflow;
}

function encodeTask(task: TaskState, workers: string[]): TaskRow {
  const {lastRun, failures, done, checkpoint, placements} = task;
  if (task.isUntouched) return 0;
  if (done && placements.length === 0) return 1;
  return [
    lastRun,
    failures,
    done ? 1 : 0,
    checkpoint,
    placements.map(({run, worker, stopping}) => [
      run,
      indexOf(workers, worker),
      stopping ? 1 : 0,
    ]),
  ];
}

function indexOf(workers: string[], worker: string): number {
  const index = workers.indexOf(worker);
  return index >= 0 ? index : workers.push(worker) - 1;
}

function decodeTask(row: TaskRow, task: TaskState, workers: string[]): void {
  if (row === 0) return;
  if (row === 1) {
    task.done = true;
    return;
  }
  const [lastRun, failures, done, checkpoint, placements] = row;
  task.lastRun = lastRun;
  task.failures = failures;
  task.done = done === 1;
  task.checkpoint = checkpoint;
  task.placements = placements.map(([run, worker, stopping]) => ({
    run,
    worker: workers[worker],
    stopping: stopping === 1,
  }));
}

function parse<Record>(text: string): Record {
  try {
    return JSON.parse(text) as Record;
  } catch (error) {
    throw new WorkflowRecordError(
      'The record of a workflow is not valid JSON.',
      {
        cause: error,
      },
    );
  }
}
