/**
 * Reads the TAP output of a test run, accepts the failures listed in
 * KNOWN-RED.txt, and prints the counts as the last line.
 *
 * Usage: node ci_verdict.js TAP_FILE EXIT_STATUS
 */
import {existsSync, readFileSync} from 'node:fs';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const RESULT_LINE = /^(not ok|ok) \d+ - (.*?)(?: # (?:SKIP|TODO).*)?$/;
const KNOWN_RED_LINE = /^test: (.+)$/gm;

interface Verdict {
  passed: number;
  readonly failed: string[];
  readonly knownRed: string[];
}

function readKnownRed(): Set<string> {
  if (!existsSync(KNOWN_RED_FILE)) return new Set();
  const text = readFileSync(KNOWN_RED_FILE, 'utf8');
  const matches = [...text.matchAll(KNOWN_RED_LINE)];
  return new Set(matches.map(match => match[1].trim()));
}

function evaluate(output: string, knownRed: ReadonlySet<string>): Verdict {
  const verdict: Verdict = {passed: 0, failed: [], knownRed: []};
  for (const line of output.split('\n')) {
    const match = RESULT_LINE.exec(line);
    if (!match) continue;
    if (match[1] === 'ok') {
      verdict.passed++;
      continue;
    }
    const title = match[2].trim();
    (knownRed.has(title) ? verdict.knownRed : verdict.failed).push(title);
  }
  return verdict;
}

function main(): number {
  const [file, status] = process.argv.slice(2);
  const verdict = evaluate(readFileSync(file, 'utf8'), readKnownRed());
  for (const title of verdict.failed) console.log(`failed: ${title}`);
  for (const title of verdict.knownRed) console.log(`known red: ${title}`);
  const counted = verdict.failed.length + verdict.knownRed.length;
  const unexplained = status !== '0' && counted === 0;
  if (unexplained) console.log(`The test command exited with ${status}.`);
  const failed = verdict.failed.length + (unexplained ? 1 : 0);
  console.log(`${verdict.passed} passed, ${failed} failed`);
  return failed === 0 && verdict.passed > 0 ? 0 : 1;
}

process.exitCode = main();
