import {
  readAgentSettings,
  readEntrySettings,
} from '../settings/process_settings.js';
import {readFileSync} from 'node:fs';
import {readOrExit} from './settings_exit.js';

const ENTRY_SECTION = /^\s*\[store\]/m;

/** Checks a file by the role that its sections show. */
export function checkSettingsFile(file: string): void {
  const role = readOrExit(() => {
    const isEntry = looksLikeEntry(file);
    if (isEntry) readEntrySettings(file);
    else readAgentSettings(file);
    return isEntry ? 'an entry' : 'an agent';
  });
  process.stdout.write(`${file}: good settings of ${role}\n`);
}

/** A file that can't be read counts as an entry's: reading it says why. */
function looksLikeEntry(file: string): boolean {
  try {
    return ENTRY_SECTION.test(readFileSync(file, 'utf8'));
  } catch {
    return true;
  }
}
