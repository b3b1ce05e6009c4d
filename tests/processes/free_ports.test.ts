import test from 'ava';
import {
  findFreeAddresses,
  loopbackHostOf,
} from '../../bench/fleet/free_ports.js';

const LAST_PROCESS_ID = 2 ** 22;

test('should give each process a host of its own', t => {
  const ids = [1, 255, 256, 257, 65_535, 65_536, LAST_PROCESS_ID];
  const hosts = ids.map(loopbackHostOf);
  t.is(new Set(hosts).size, ids.length);
  t.true(hosts.every(host => /^127\.\d+\.\d+\.\d+$/.test(host)));
});

test('should find different addresses on the host of the process', async t => {
  const addresses = await findFreeAddresses(3);
  t.is(new Set(addresses).size, 3);
  const host = loopbackHostOf(process.pid);
  t.true(addresses.every(address => address.startsWith(`${host}:`)));
});
