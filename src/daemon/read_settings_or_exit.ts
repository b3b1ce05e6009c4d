import {messageOf} from '../utilities/base_error.js';

const EXIT_CODE_INVALID_SETTINGS = 2;

/** Reads settings; on errors, prints all of them and exits with code 2. */
export function readSettingsOrExit<Settings>(read: () => Settings): Settings {
  try {
    return read();
  } catch (error) {
    process.stderr.write(`${messageOf(error)}\n`);
    process.exit(EXIT_CODE_INVALID_SETTINGS);
  }
}
