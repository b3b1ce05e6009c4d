import {accessSync, constants} from 'node:fs';
import {entryAdvertiseSection, entryListenSection} from './entry_schema.js';
import {parseAddress} from './network_address.js';
import {tlsSection} from './process_sections.js';
import type {SettingsFault} from './settings_fault.js';
import type {CheckedSettings} from './settings_schema.js';

/** Faults of a settings file that show only where its sections meet. */

/** Listening there means every address of the VM. */
const ANY_HOSTS: ReadonlySet<string> = new Set(['0.0.0.0', '::']);

/** Addresses that others would be told but can't reach. */
export function advertiseFaults(
  file: string,
  checked: CheckedSettings,
): SettingsFault[] {
  const section = entryAdvertiseSection.name;
  const listen = checked.section(entryListenSection);
  const advertise = checked.section(entryAdvertiseSection);
  const faults: SettingsFault[] = [];
  for (const key of ['callers', 'processes'] as const) {
    const listened = listen[key];
    if (listened === undefined || advertise[key] !== undefined) continue;
    const {host} = parseAddress(listened);
    if (!ANY_HOSTS.has(host)) continue;
    const message = `The key is missing: others can't reach ${listened}.`;
    faults.push(fileFault(file, section, key, message));
  }
  return faults;
}

/** Paths that are missing beside the others, or that can't be read. */
export function tlsFaults(
  file: string,
  checked: CheckedSettings,
): SettingsFault[] {
  const paths = Object.entries(checked.section(tlsSection));
  if (paths.every(([, path]) => path === undefined)) return [];
  const faults: SettingsFault[] = [];
  for (const [key, path] of paths) {
    if (path === undefined) {
      const message = 'The key is missing beside the others of the section.';
      faults.push(fileFault(file, tlsSection.name, key, message));
      continue;
    }
    if (isReadable(path)) continue;
    const message = `The file ${path} can't be read.`;
    faults.push(fileFault(file, tlsSection.name, key, message));
  }
  return faults;
}

function isReadable(path: string): boolean {
  try {
    accessSync(path, constants.R_OK);
    return true;
  } catch {
    return false;
  }
}

/** A fault that no line stands for. */
export function fileFault(
  file: string,
  section: string,
  key: string,
  message: string,
): SettingsFault {
  return {file, section, key, message, accepted: '', line: 0};
}
