/** Clients that send many requests ahead, most without reading a response. */
import {requestText, testCrowd} from './fixtures/crowd_kind.js';
import type {CrowdKind} from './fixtures/crowd_kind.js';
import {QUEUE_HOST, QUEUE_PREFIX} from './fixtures/fleet_settings.js';

const HEAP_MEGABYTES = 64;
const UNKNOWN_JOB = `${QUEUE_PREFIX}00000000000000aa`;
const SMALL_HEADERS = 1_500;

function refusedSubmission(): string {
  const head = `POST ${UNKNOWN_JOB} HTTP/1.1\r\nHost: ${QUEUE_HOST}\r\n`;
  return `${head}Content-Length: 2\r\n\r\n[]`;
}

function requestWithSmallHeaders(): string {
  const headers = 'a:b\r\n'.repeat(SMALL_HEADERS);
  return `GET / HTTP/1.1\r\nHost: ${QUEUE_HOST}\r\n${headers}\r\n`;
}

const ENTRY_KINDS: ReadonlyArray<Omit<CrowdKind, 'role' | 'heapMegabytes'>> = [
  {
    name: 'requests without a host sent ahead, answers unread',
    listener: 'callers',
    again: 'GET / HTTP/1.1\r\n\r\n',
  },
  {
    name: 'health checks sent ahead, answers unread',
    listener: 'health',
    again: 'GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n',
  },
  {
    name: 'requests at paths without a route sent ahead, answers unread',
    listener: 'callers',
    again: requestText('GET', '/none'),
  },
  {
    name: 'requests at paths without a route sent ahead, answers read',
    listener: 'callers',
    again: requestText('GET', '/none'),
    reads: true,
  },
  {
    name: 'unknown paths of the health listener sent ahead, answers unread',
    listener: 'health',
    again: requestText('GET', '/none'),
  },
  {
    name: 'states of an unknown job sent ahead, answers unread',
    listener: 'callers',
    again: requestText('GET', UNKNOWN_JOB),
  },
  {
    name: 'states of an unknown job sent ahead, answers read',
    listener: 'callers',
    again: requestText('GET', UNKNOWN_JOB),
    reads: true,
  },
  {
    name: 'counts of waiting jobs sent ahead, answers unread',
    listener: 'callers',
    again: requestText('GET', QUEUE_PREFIX),
  },
  {
    name: 'invalid escapes sent ahead, answers unread',
    listener: 'callers',
    again: requestText('GET', '/%zz'),
  },
  {
    name: 'cancels of an unknown job sent ahead, answers unread',
    listener: 'callers',
    again: requestText('DELETE', UNKNOWN_JOB),
  },
  {
    name: 'refused submissions sent ahead, answers unread',
    listener: 'callers',
    again: refusedSubmission(),
  },
  {
    name: 'many small headers sent ahead, answers unread',
    listener: 'callers',
    again: requestWithSmallHeaders(),
  },
  {
    name: 'state dumps sent ahead, answers unread',
    listener: 'metrics',
    again: requestText('GET', '/state'),
  },
  {
    name: 'metrics sent ahead, answers unread',
    listener: 'metrics',
    again: requestText('GET', '/metrics'),
  },
];

for (const kind of ENTRY_KINDS) {
  testCrowd({...kind, role: 'entry', heapMegabytes: HEAP_MEGABYTES});
}

testCrowd({
  name: 'reports at unknown paths sent ahead to an agent, answers unread',
  role: 'agent',
  heapMegabytes: HEAP_MEGABYTES,
  listener: 'reports',
  again: requestText('PUT', '/none'),
});

testCrowd({
  name: 'refused reports sent ahead to an agent, answers unread',
  role: 'agent',
  heapMegabytes: HEAP_MEGABYTES,
  listener: 'reports',
  again: requestText('PUT', '/-/instances/i-1'),
});

testCrowd({
  name: 'a thousand connections that each send a few requests ahead',
  role: 'entry',
  heapMegabytes: HEAP_MEGABYTES,
  listener: 'callers',
  connections: 1_000,
  first: requestText('GET', '/none').repeat(100),
});
