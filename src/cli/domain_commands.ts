import type {FailureDomain} from './api_types.js';
import {changeFleet} from './settings_change.js';
import {waitOptionsOf} from './settings_commands.js';
import {formatTable} from './table.js';
import {WAIT_ARGUMENTS, defineToolCommand} from './tool_command.js';
import type {ToolCommand} from './tool_command.js';

/** `burdockmoor domain …` */

const PATH = '/v1/failure-domains';

export const takeDomainOut = changeOfDomain(
  'out',
  'Take a failure domain out: no task starts there',
  'taken out',
);

export const bringDomainIn = changeOfDomain(
  'in',
  'Bring a failure domain back',
  'brought back',
);

export const listDomains = defineToolCommand({
  name: 'list',
  description: 'List the failure domains',
  example: 'burdockmoor domain list',
  args: {},
  async run(session) {
    const answer = await session.client.read<{
      failureDomains: readonly FailureDomain[];
    }>(PATH);
    const rows = answer.failureDomains.map(domain => [
      domain.name,
      domain.out ? 'out' : 'in',
      domain.vms,
    ]);
    session.show(answer, formatTable(['FAILURE DOMAIN', 'STATE', 'VMS'], rows));
  },
});

function changeOfDomain(
  name: 'out' | 'in',
  description: string,
  done: string,
): ToolCommand {
  return defineToolCommand({
    name,
    description,
    example: `burdockmoor domain ${name} tema --wait`,
    args: {
      domain: {
        type: 'positional',
        description: 'The failure domain',
        required: true,
      },
      ...WAIT_ARGUMENTS,
    },
    async run(session, args) {
      const path = `${PATH}/${encodeURIComponent(args.domain)}/${name}`;
      const what = `Failure domain ${args.domain} ${done}`;
      await changeFleet(session, path, what, waitOptionsOf(args));
    },
  });
}
