#!/usr/bin/env node
import process from 'node:process';
import {SystemClock} from '../utilities/clock.js';
import {runTool} from './tool.js';

/** The operators' command-line tool. */

process.exitCode = await runTool(process.argv.slice(2), {
  environment: process.env,
  clock: new SystemClock(),
  write: text => process.stdout.write(text),
  writeError: text => process.stderr.write(text),
});
