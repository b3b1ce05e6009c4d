import type {ArgsDef} from 'citty';
import type {PlacementExplanation} from './api_types.js';
import {formatPlacement} from './placement_output.js';
import {readTextFile} from './text_file.js';
import {defineToolCommand, parseWholeNumber} from './tool_command.js';
import {createUsageError} from './tool_error.js';

/** `burdockmoor place …` */

const PATH = '/placement/explain';

const WORKFLOW_ARGUMENTS = {
  file: {
    type: 'string',
    description:
      'JSON file with `queue` and `steps`, in place of the other options',
    valueHint: 'file',
  },
  queue: {
    type: 'string',
    description: 'Queue of the workflow',
    valueHint: 'name',
  },
  tasks: {
    type: 'string',
    description: 'Number of tasks; 1 if not given',
    valueHint: 'number',
  },
  milliprocessors: {
    type: 'string',
    description: 'Thousandths of a processor that a task needs',
    valueHint: 'number',
  },
  'memory-megabytes': {
    type: 'string',
    description: 'Memory that a task needs',
    valueHint: 'number',
  },
  accelerators: {
    type: 'string',
    description: 'Accelerators that a task needs',
    valueHint: 'number',
  },
  'estimate-millis': {
    type: 'string',
    description: 'Estimated duration of a task',
    valueHint: 'millis',
  },
  image: {
    type: 'string',
    description: 'Image of the tasks; tasks of one image behave alike',
    valueHint: 'name',
  },
  'tail-target-millis': {
    type: 'string',
    description: 'Target tail latency of a latency-critical task',
    valueHint: 'millis',
  },
  label: {
    type: 'string',
    description: 'Label that a worker must have',
    valueHint: 'name',
  },
  'data-rack': {
    type: 'string',
    description: 'Rack on which the tasks work faster',
    valueHint: 'name',
  },
  spread: {
    type: 'string',
    description: 'Maximum number of tasks on one worker',
    valueHint: 'number',
  },
  'best-effort': {
    type: 'boolean',
    description: 'The tasks use unused processors and reserve none',
  },
  'long-running': {
    type: 'boolean',
    description: 'The tasks run until the workflow is cancelled',
  },
  gang: {
    type: 'boolean',
    description: 'The tasks can only run all at once',
  },
  'rack-local': {
    type: 'boolean',
    description: 'The tasks work faster on a single rack',
  },
} as const satisfies ArgsDef;

/** Values of `WORKFLOW_ARGUMENTS` as given on the command line. */
type WorkflowOptions = Readonly<
  Partial<Record<keyof typeof WORKFLOW_ARGUMENTS, string | boolean>>
>;

export const explainPlacement = defineToolCommand({
  name: 'explain',
  description:
    "Show where a workflow's tasks would be placed now, and what rules workers out",
  example:
    'burdockmoor place explain --queue fast --tasks 20 --milliprocessors 1800 --best-effort',
  args: WORKFLOW_ARGUMENTS,
  async run(session, args) {
    const body =
      args.file === undefined
        ? JSON.stringify(createWorkflow(args))
        : readWorkflow(args.file, args);
    const response = await session.client.call({
      method: 'POST',
      path: PATH,
      headers: {'content-type': 'application/json'},
      body,
      // Explaining changes nothing, so another entry may be asked as well.
      isRepeatable: true,
    });
    const explanation = JSON.parse(response.text) as PlacementExplanation;
    session.show(explanation, formatPlacement(explanation));
  },
});

/** Returns a workflow of one step; the entry sets the missing values. */
function createWorkflow(options: WorkflowOptions): object {
  if (options.queue === undefined) {
    throw createUsageError('Specify the workflow with --queue or --file.');
  }
  const whole = (option: keyof WorkflowOptions): number | undefined =>
    parseWholeNumber(option, options[option] as string | undefined);
  const step = {
    count: whole('tasks') ?? 1,
    size: {
      milliprocessors: whole('milliprocessors'),
      memoryMegabytes: whole('memory-megabytes'),
      accelerators: whole('accelerators'),
    },
    estimateMillis: whole('estimate-millis'),
    image: options.image,
    tailTargetMillis: whole('tail-target-millis'),
    requiredLabel: options.label,
    dataRack: options['data-rack'],
    spreadLimit: whole('spread'),
    fills: options['best-effort'],
    lasting: options['long-running'],
    gang: options.gang,
    rackLocal: options['rack-local'],
  };
  return {queue: options.queue, steps: [step]};
}

function readWorkflow(file: string, options: WorkflowOptions): string {
  const names = Object.keys(WORKFLOW_ARGUMENTS) as Array<keyof WorkflowOptions>;
  const other = names.find(
    name => name !== 'file' && options[name] !== undefined,
  );
  if (other) throw createUsageError(`--file can't be used with --${other}.`);
  return readTextFile(file);
}
