/** Names of tasks: workflow, occurrence, step and index, joined by dots. */
export interface TaskName {
  readonly workflow: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

const TASK_NAME = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/;

export function formatTaskName(name: TaskName): string {
  return `${name.workflow}.${name.occurrence}.${name.step}.${name.index}`;
}

/** Undefined if the text is not the name of a task. */
export function parseTaskName(text: string): TaskName | undefined {
  const match = TASK_NAME.exec(text);
  if (!match) return undefined;
  const [, workflow, occurrence, step, index] = match;
  return {
    workflow,
    occurrence: Number(occurrence),
    step: Number(step),
    index: Number(index),
  };
}

/** Returns the workflow in the name of a task. */
export function workflowOfTask(task: string): string {
  const end = task.indexOf('.');
  return end < 0 ? '' : task.slice(0, end);
}

/** Returns a key of one run of a task that is unique within a worker. */
export function runKey(task: string, run: number): string {
  return `${task}#${run}`;
}
