import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import test from 'ava';
import {EventLevel, Events} from '../../src/observability/events.js';
import {ResultCodes} from '../../src/observability/result_codes.js';

test('should give every event a unique number, in ascending order', t => {
  const events = Object.values(Events);
  const numbers = events.map(event => event.number);
  t.is(new Set(numbers).size, numbers.length);
  t.true(numbers.every(number => number >= 1000 && number < 7000));
  t.deepEqual(
    numbers,
    [...numbers].sort((left, right) => left - right),
  );
  const levels: ReadonlySet<string> = new Set(Object.values(EventLevel));
  t.true(events.every(event => levels.has(event.level)));
});

test('should give every result code a unique number and its key as name', t => {
  const codes = Object.entries(ResultCodes);
  const numbers = codes.map(([, code]) => code.number);
  t.is(new Set(numbers).size, numbers.length);
  t.true(codes.every(([name, code]) => name === code.name));
  t.true(codes.every(([, code]) => code.httpStatus >= 400));
});

test('should list only events that some code logs', t => {
  const files = readdirSync('src', {recursive: true, encoding: 'utf8'});
  const logged = new Set<string>();
  for (const file of files) {
    if (!file.endsWith('.ts') || file === join('observability', 'events.ts'))
      continue;
    const code = readFileSync(join('src', file), 'utf8');
    for (const [, name] of code.matchAll(/\bEvents\.([A-Z_]+)/g)) {
      logged.add(name);
    }
  }
  const silent = Object.keys(Events).filter(name => !logged.has(name));
  t.deepEqual(silent, []);
});
