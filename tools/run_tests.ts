/**
 * Runs all tests: first those that may run beside each other, then those of
 * crowds, one at a time. Passes its arguments on to both runs.
 */
import {spawnSync} from 'node:child_process';

const CONFIGURATIONS = ['ava.config.js', 'ava.crowds.config.js'];

let exitCode = 0;
for (const configuration of CONFIGURATIONS) {
  const words = ['ava', '--config', configuration, ...process.argv.slice(2)];
  const {status} = spawnSync('npx', words, {stdio: 'inherit'});
  exitCode ||= status ?? 1;
}
process.exitCode = exitCode;
