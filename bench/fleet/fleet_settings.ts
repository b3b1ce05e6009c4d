import type {FleetAddresses} from './fleet_layout.js';
import type {FleetEntry, FleetLayout, FleetVm} from './fleet_layout.js';

/** The settings files with which the processes of a fleet start. */

export function entrySettings(
  layout: FleetLayout,
  entry: FleetEntry,
  addresses: FleetAddresses,
): string {
  return lines([
    '[process]',
    `id = ${entry.name}`,
    `failure_domain = ${entry.failureDomain}`,
    `region = ${layout.region}`,
    '[listen]',
    `callers = ${addresses.of(entry.name, 'callers')}`,
    `processes = ${addresses.of(entry.name, 'processes')}`,
    '[store]',
    `endpoints = http://${addresses.of('store')}`,
    `writes_per_second = ${Math.floor(200 / layout.entries.length)}`,
    `reads_per_second = ${Math.floor(800 / layout.entries.length)}`,
  ]);
}

export function agentSettings(
  layout: FleetLayout,
  vm: FleetVm,
  addresses: FleetAddresses,
): string {
  const entries = layout.entries.map(entry =>
    addresses.of(entry.name, 'processes'),
  );
  return lines([
    '[process]',
    `id = ${vm.name}`,
    `failure_domain = ${vm.failureDomain}`,
    `region = ${layout.region}`,
    `rack = ${vm.rack}`,
    '[listen]',
    `processes = ${addresses.of(vm.name, 'processes')}`,
    `state = ${addresses.of(vm.name, 'state')}`,
    '[entries]',
    `addresses = ${entries.join(', ')}`,
    '[worker]',
    `address = http://${addresses.of(vm.name, 'worker')}`,
    '[executor]',
    `address = http://${addresses.of(vm.name, 'executor')}`,
    `service = ${layout.service}`,
    `team = ${layout.team}`,
    'slots = 8',
    'connections = 64',
  ]);
}

function lines(parts: readonly string[]): string {
  return `${parts.join('\n')}\n`;
}
