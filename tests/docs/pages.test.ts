import {existsSync, readFileSync, readdirSync} from 'node:fs';
import {dirname, join} from 'node:path';
import test from 'ava';
import {Events} from '../../src/observability/events.js';
import {ResultCodes} from '../../src/observability/result_codes.js';
import {findMetrics, sourceFiles} from '../../tools/pages/metrics_page.js';
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

test('should list every event and result code', t => {
  const events = readFileSync('docs/EVENTS.md', 'utf8');
  for (const [name, {number}] of Object.entries(Events)) {
    t.true(events.includes(`| ${number} | ${name} |`), name);
  }
  const codes = readFileSync('docs/RESULT_CODES.md', 'utf8');
  for (const {number} of Object.values(ResultCodes)) {
    t.true(codes.includes(`| ${number} |`), `${number}`);
  }
});

test('should list every metric that the code asks for', t => {
  const asked = sourceFiles('src')
    .filter(file => !file.endsWith('observability/metrics.ts'))
    .flatMap(file => [
      ...readFileSync(file, 'utf8').matchAll(
        /[mM]etrics\s*\??\s*\.(?:counter|gauge|latency|observe)\(/g,
      ),
    ]);
  t.true(findMetrics().length > 0);
  t.is(findMetrics().length, asked.length);
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
