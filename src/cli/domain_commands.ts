import type {FailureDomain} from './api_types.js';
import {changeFleet} from './settings_change.js';
import {parseWaitOptions} from './settings_commands.js';
import {formatTable} from './table.js';
import {WAIT_ARGUMENTS, defineToolCommand} from './tool_command.js';
import type {ToolCommand} from './tool_command.js';

/** `burdockmoor domain …` */

const PATH = '/v1/failure-domains';

export const takeDomainOut = createDomainCommand(
  'out',
  'Take a failure domain out of service: no task starts there',
  'taken out of service',
);

export const bringDomainIn = createDomainCommand(
  'in',
  'Bring a failure domain back into service',
  'brought back into service',
);

export const listDomains = defineToolCommand({
  name: 'list',
  description: 'List the failure domains',
  example: 'burdockmoor domain list',
  args: {},
  async run(session) {
    const response = await session.client.read<{
      failureDomains: readonly FailureDomain[];
    }>(PATH);
    const rows = response.failureDomains.map(domain => [
      domain.name,
      domain.out ? 'out' : 'in',
      domain.vms,
    ]);
    session.show(
      response,
      formatTable(['FAILURE DOMAIN', 'STATE', 'VMS'], rows),
    );
  },
});

function createDomainCommand(
  name: 'out' | 'in',
  description: string,
  outcome: string,
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
      const summary = `Failure domain ${args.domain} ${outcome}`;
      await changeFleet(session, path, summary, parseWaitOptions(args));
    },
  });
}
