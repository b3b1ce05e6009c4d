#!/usr/bin/env node
import {createReadStream} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {SystemClock} from '../utilities/clock.js';
import {runTool} from './tool.js';

/** The operators' command-line tool. */

process.exitCode = await runTool(process.argv.slice(2), {
  environment: process.env,
  clock: new SystemClock(),
  readLines: file =>
    createInterface({input: file ? createReadStream(file) : process.stdin}),
  write: text => process.stdout.write(text),
  writeError: text => process.stderr.write(text),
});
