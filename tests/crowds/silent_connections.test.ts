/** Clients that connect and say nothing, or nothing that is a request. */
import {testCrowd} from './fixtures/crowd_kind.js';
import {QUEUE_HOST} from './fixtures/fleet_settings.js';

/** A machine with few descriptors shows the fault with few connections. */
const DESCRIPTORS = 700;
const CONNECTIONS = 800;
const PARTIAL_HEAD = `GET / HTTP/1.1\r\nHost: ${QUEUE_HOST}\r\n`;

for (const listener of ['callers', 'health', 'metrics', 'processes'] as const) {
  testCrowd({
    name: `silent connections at the address of ${listener}`,
    role: 'entry',
    descriptors: DESCRIPTORS,
    listener,
    connections: CONNECTIONS,
  });
}

testCrowd({
  name: 'silent connections at the address of reports',
  role: 'agent',
  descriptors: DESCRIPTORS,
  listener: 'reports',
  connections: CONNECTIONS,
});

testCrowd({
  name: 'partial heads on many connections',
  role: 'entry',
  descriptors: DESCRIPTORS,
  listener: 'callers',
  connections: CONNECTIONS,
  first: PARTIAL_HEAD,
});

testCrowd({
  name: 'junk at the address of processes',
  role: 'entry',
  heapMegabytes: 64,
  listener: 'processes',
  connections: 64,
  again: 'junk\r\n',
});
