import type {Vm} from './api_types.js';
import {changeFleet} from './settings_change.js';
import {parseWaitOptions} from './settings_commands.js';
import {formatTable, orHyphen} from './table.js';
import {WAIT_ARGUMENTS, defineToolCommand} from './tool_command.js';
import type {ToolCommand} from './tool_command.js';

/** `burdockmoor vm …` */

const PATH = '/v1/vms';
const MILLIPROCESSORS_PER_PROCESSOR = 1000;
/** A VM without a message for this long has missed several heartbeats. */
const SILENT_AFTER_MILLIS = 5000;

export const drainVm = createVmCommand(
  'drain',
  'Drain a VM: it gets no new work and its tasks move to other VMs',
  'drained',
);

export const undrainVm = createVmCommand(
  'undrain',
  'End the drain of a VM',
  'undrained',
);

export const listVms = defineToolCommand({
  name: 'list',
  description: 'List the VMs whose agents report',
  example: 'burdockmoor vm list',
  args: {},
  async run(session) {
    const response = await session.client.read<{vms: readonly Vm[]}>(PATH);
    const headings = [
      'VM',
      'FAILURE DOMAIN',
      'RACK',
      'PROCESSORS',
      'MEMORY MB',
      'ACCELERATORS',
      'TASKS',
      'STATE',
      'HEARD',
    ];
    const rows = response.vms.map(vm => [
      vm.vm,
      vm.failureDomain,
      orHyphen(vm.rack),
      `${processorsOf(vm.committed)} of ${processorsOf(vm.capacity)}`,
      `${vm.committed?.memoryMegabytes ?? 0} of ${vm.capacity?.memoryMegabytes ?? 0}`,
      `${vm.committed?.accelerators ?? 0} of ${vm.capacity?.accelerators ?? 0}`,
      vm.runningAttempts,
      stateOf(vm),
      `${vm.silentMillis} ms ago`,
    ]);
    session.show(response, formatTable(headings, rows));
  },
});

function createVmCommand(
  name: 'drain' | 'undrain',
  description: string,
  outcome: string,
): ToolCommand {
  return defineToolCommand({
    name,
    description,
    example: `burdockmoor vm ${name} vm-1 --wait`,
    args: {
      vm: {type: 'positional', description: 'The VM', required: true},
      ...WAIT_ARGUMENTS,
    },
    async run(session, args) {
      const path = `${PATH}/${encodeURIComponent(args.vm)}/${name}`;
      const summary = `VM ${args.vm} ${outcome}`;
      await changeFleet(session, path, summary, parseWaitOptions(args));
    },
  });
}

function processorsOf(size: Vm['capacity']): number {
  return (size?.milliprocessors ?? 0) / MILLIPROCESSORS_PER_PROCESSOR;
}

function stateOf(vm: Vm): string {
  if (vm.stopping) return 'stopping';
  if (vm.silentMillis > SILENT_AFTER_MILLIS) return 'silent';
  if (vm.drained) return 'drained';
  if (vm.failureDomainOut) return 'domain out';
  return vm.recovering ? 'recovering' : 'open';
}
