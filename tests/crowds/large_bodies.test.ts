/** Clients whose bodies are large, slow or cut into tiny chunks. */
import {headText, testCrowd} from './fixtures/crowd_kind.js';
import {QUEUE_HOST, QUEUE_PREFIX} from './fixtures/fleet_settings.js';

const MEGABYTE = 1024 * 1024;
const JOB = `${QUEUE_PREFIX}00000000000000aa`;
const REPORT = '/-/instances/i-1';
const LARGEST_REPORT = 4 * MEGABYTE;
const REFUSED_REPORT = 64 * MEGABYTE;
const HEAD_OF_CHUNKS = `POST ${JOB} HTTP/1.1\r\nHost: ${QUEUE_HOST}\r\nTransfer-Encoding: chunked\r\n\r\n`;

/** Returns a body that waits for its last byte. */
function unfinishedBody(path: string, length: number): string {
  return headText('PUT', path, length) + ' '.repeat(length - 1);
}

testCrowd({
  name: 'bodies of endless tiny chunks',
  role: 'entry',
  heapMegabytes: 64,
  listener: 'callers',
  first: HEAD_OF_CHUNKS,
  again: '1\r\na\r\n',
});

testCrowd({
  name: 'bodies of a megabyte that are held open',
  role: 'entry',
  listener: 'callers',
  connections: 400,
  first: unfinishedBody(JOB, MEGABYTE),
});

testCrowd({
  name: 'reports of a megabyte that are held open at an agent',
  role: 'agent',
  listener: 'reports',
  connections: 200,
  first: unfinishedBody(REPORT, MEGABYTE),
});

testCrowd({
  name: 'reports above the limit sent to an agent',
  role: 'agent',
  listener: 'reports',
  first: headText('PUT', REPORT, REFUSED_REPORT),
  again: ' ',
  bytesPerConnection: REFUSED_REPORT,
});

testCrowd({
  name: 'the largest reports sent ahead to an agent',
  role: 'agent',
  listener: 'reports',
  again: headText('PUT', REPORT, LARGEST_REPORT) + ' '.repeat(LARGEST_REPORT),
  bytesPerConnection: 4 * LARGEST_REPORT,
});
