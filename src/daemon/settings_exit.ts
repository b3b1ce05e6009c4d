import {messageOf} from '../utilities/base_error.js';

const EXIT_BAD_SETTINGS = 2;

/** Reads settings; prints all faults and ends with code 2 when there are any. */
export function readOrExit<Settings>(read: () => Settings): Settings {
  try {
    return read();
  } catch (error) {
    process.stderr.write(`${messageOf(error)}\n`);
    process.exit(EXIT_BAD_SETTINGS);
  }
}
