import {ExitCodes} from './exit_codes.js';
import {parseLogLine} from './log_line.js';
import {formatTrace, RequestTrace} from './request_trace.js';
import {defineToolCommand} from './tool_command.js';
import {createToolError} from './tool_error.js';

/** `burdockmoor log …` and its shorthand `burdockmoor trace` */

export const traceRequest = defineToolCommand({
  name: 'trace',
  description:
    'Show from the logs of all processes what happened to a request or workflow, and how its time was spent',
  example: 'burdockmoor log trace 26a85b09c1d2e3f4 entry.log agent.log',
  needsEntry: false,
  takesFiles: true,
  args: {
    id: {
      type: 'positional',
      description:
        'Id of the request or workflow; log files may follow, otherwise standard input is read',
      required: true,
    },
  },
  async run(session, {id, _: [, ...files]}) {
    const trace = new RequestTrace(id);
    const {readLines} = session.context;
    for (const file of files.length > 0 ? files : [undefined]) {
      for await (const text of readLines(file)) {
        const line = parseLogLine(text);
        if (line) trace.add(line);
      }
    }
    if (trace.isEmpty) {
      const message = `No log line refers to ${id}.`;
      throw createToolError(ExitCodes.NOT_FOUND, message);
    }
    const result = {...trace.summarize(), lines: trace.lines()};
    session.show(result, formatTrace(trace));
  },
});
