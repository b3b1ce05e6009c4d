import {accessSync, constants} from 'node:fs';
import {entryAdvertiseSection, entryListenSection} from './entry_schema.js';
import {parseAddress} from './network_address.js';
import {tlsSection} from './process_sections.js';
import type {SettingsFault} from './settings_fault.js';
import type {ValidatedSettings} from './settings_schema.js';

/** Checks of a settings file that involve several keys, or other files. */

/** Listening on one of these hosts means on all addresses of the VM. */
const WILDCARD_HOSTS: ReadonlySet<string> = new Set(['0.0.0.0', '::']);

/** Reports listen addresses that would be advertised but can't be reached. */
export function advertiseFaults(
  file: string,
  checked: ValidatedSettings,
): SettingsFault[] {
  const section = entryAdvertiseSection.name;
  const listen = checked.section(entryListenSection);
  const advertise = checked.section(entryAdvertiseSection);
  const faults: SettingsFault[] = [];
  for (const key of ['callers', 'processes'] as const) {
    const listened = listen[key];
    if (listened === undefined || advertise[key] !== undefined) continue;
    const {host} = parseAddress(listened);
    if (!WILDCARD_HOSTS.has(host)) continue;
    const message = `The key is missing: other processes can't reach ${listened}.`;
    faults.push(createFileFault(file, section, key, message));
  }
  return faults;
}

/** Reports paths that can't be read, or are missing while another is set. */
export function tlsFaults(
  file: string,
  checked: ValidatedSettings,
): SettingsFault[] {
  const paths = Object.entries(checked.section(tlsSection));
  if (paths.every(([, path]) => path === undefined)) return [];
  const faults: SettingsFault[] = [];
  for (const [key, path] of paths) {
    if (path === undefined) {
      const message = 'The key is missing; the section needs all three paths.';
      faults.push(createFileFault(file, tlsSection.name, key, message));
      continue;
    }
    if (isReadable(path)) continue;
    const message = `The file ${path} can't be read.`;
    faults.push(createFileFault(file, tlsSection.name, key, message));
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

/** Creates an error that refers to no line of the file. */
export function createFileFault(
  file: string,
  section: string,
  key: string,
  message: string,
): SettingsFault {
  return {file, section, key, message, accepted: '', line: 0};
}
