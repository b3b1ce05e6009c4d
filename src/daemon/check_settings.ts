import {
  readAgentSettings,
  readEntrySettings,
} from '../settings/process_settings.js';
import {readFileSync} from 'node:fs';
import {readSettingsOrExit} from './read_settings_or_exit.js';

const ENTRY_SECTION_PATTERN = /^\s*\[store\]/m;

/** Checks a settings file; its sections determine the role. */
export function checkSettingsFile(file: string): void {
  const role = readSettingsOrExit(() => {
    const isEntry = isEntryFile(file);
    if (isEntry) readEntrySettings(file);
    else readAgentSettings(file);
    return isEntry ? 'an entry' : 'an agent';
  });
  process.stdout.write(`${file}: good settings of ${role}\n`);
}

/** True for an unreadable file too: reading it as an entry's reports why. */
function isEntryFile(file: string): boolean {
  try {
    return ENTRY_SECTION_PATTERN.test(readFileSync(file, 'utf8'));
  } catch {
    return true;
  }
}
