/**
 * Crowds of kinds that are drawn from seeds. Set CROWD_SEEDS to a list such as
 * `1,2,3` to run others by hand.
 */
import {Random} from '../../src/utilities/random.js';
import {requestText, testCrowd} from './fixtures/crowd_kind.js';
import type {CrowdKind} from './fixtures/crowd_kind.js';
import {QUEUE_HOST, QUEUE_PREFIX} from './fixtures/fleet_settings.js';

const DEFAULT_SEEDS = '44';
const METHODS = ['GET', 'PUT', 'POST', 'DELETE', 'HEAD', 'OPTIONS'];
const PATHS = [
  '/',
  '/-/ready',
  '/state',
  '/metrics',
  '/placement/explain',
  '/-/instances/i-1',
  QUEUE_PREFIX,
  `${QUEUE_PREFIX}00000000000000aa`,
  `${QUEUE_PREFIX}no-id`,
  `/${'long'.repeat(500)}`,
];
const LISTENERS = ['callers', 'health', 'metrics', 'processes'] as const;
const MAXIMUM_PARTS = 4;

function drawOne<Item>(random: Random, items: readonly Item[]): Item {
  return items[random.below(items.length)];
}

function drawRequest(random: Random): string {
  const method = drawOne(random, METHODS);
  const path = drawOne(random, PATHS);
  const body = 'x'.repeat(random.below(3_000));
  const head = `${method} ${path} HTTP/1.1\r\nHost: ${QUEUE_HOST}\r\n`;
  const texts = [
    requestText(method, path),
    `${method} ${path} HTTP/1.1\r\n\r\n`,
    `${method} ${path} HTTP/1.0\r\n\r\n`,
    `${head}Content-Length: ${body.length}\r\n\r\n${body}`,
    `${head}Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n`,
    `${head}Expect: 100-continue\r\nContent-Length: 2\r\n\r\n[]`,
    `${head}Connection: upgrade\r\nUpgrade: other\r\n\r\n`,
    `${method} ${path} HTTP/1.1\nHost: ${QUEUE_HOST}\n\n`,
    `${head}${'a: b\r\n'.repeat(1 + random.below(500))}\r\n`,
  ];
  return drawOne(random, texts);
}

function drawKind(seed: number): CrowdKind {
  const random = new Random(seed);
  const role = random.unit() < 0.75 ? 'entry' : 'agent';
  const parts = Array.from({length: 1 + random.below(MAXIMUM_PARTS)}, () =>
    drawRequest(random),
  );
  return {
    name: `a crowd drawn from seed ${seed}`,
    role,
    listener: role === 'agent' ? 'reports' : drawOne(random, LISTENERS),
    heapMegabytes: 64,
    connections: 16 + random.below(112),
    again: parts.join(''),
    reads: random.unit() < 0.5,
  };
}

const {CROWD_SEEDS = DEFAULT_SEEDS} = process.env;
for (const seed of CROWD_SEEDS.split(',')) testCrowd(drawKind(Number(seed)));
