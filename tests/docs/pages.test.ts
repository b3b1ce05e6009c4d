import {existsSync, readFileSync, readdirSync} from 'node:fs';
import {dirname, join} from 'node:path';
import test from 'ava';
import {Events} from '../../src/observability/events.js';
import {generatedPages} from '../../tools/pages/pages.js';

const EVENT_HEADING = /^#+ .*?`([A-Z][A-Z_]+)`/gm;
const LINK = /\]\(([^)#]+)(?:#[^)]*)?\)/g;
const PAGES = [
  'README.md',
  ...readdirSync('docs', {recursive: true, encoding: 'utf8'})
    .filter(name => name.endsWith('.md'))
    .map(name => join('docs', name)),
];

for (const [file, render] of generatedPages) {
  test(`should have committed ${file} as the code gives it`, t => {
    const isCurrent = readFileSync(file, 'utf8') === render();
    t.true(isCurrent, 'run `npm run docs` and commit the pages');
  });
}

test('should tell operators what to do about each alarm, and no other', t => {
  const page = readFileSync('docs/OPERATING.md', 'utf8');
  const told = [...page.matchAll(EVENT_HEADING)].map(match => match[1]);
  const alarms = Object.entries(Events)
    .filter(([, type]) => type.level === 'warn' || type.level === 'error')
    .map(([name]) => name);
  t.deepEqual([...told].sort(), [...alarms].sort());
});

test('should link only to files that exist', t => {
  for (const page of PAGES) {
    for (const [, target] of readFileSync(page, 'utf8').matchAll(LINK)) {
      if (/^https?:/.test(target)) continue;
      t.true(existsSync(join(dirname(page), target)), `${page}: ${target}`);
    }
  }
});

test('should link every page of docs from the README', t => {
  const readme = readFileSync('README.md', 'utf8');
  const unlinked = PAGES.slice(1).filter(page => !readme.includes(page));
  t.deepEqual(unlinked, []);
});
