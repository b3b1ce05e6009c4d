import {defineToolCommand} from './tool_command.js';

/** `burdockmoor state …` */

const JSON_INDENT = 2;

export const dumpState = defineToolCommand({
  name: 'dump',
  description: 'Print the state of a process as JSON',
  example: 'burdockmoor state dump entry-1',
  args: {
    process: {
      type: 'positional',
      description: 'Id of the process; the entry that responds if not given',
      required: false,
    },
  },
  async run(session, {process}) {
    const path =
      process === undefined
        ? '/v1/state'
        : `/v1/state/${encodeURIComponent(process)}`;
    const state = await session.client.read<unknown>(path);
    session.show(state, JSON.stringify(state, null, JSON_INDENT));
  },
});
