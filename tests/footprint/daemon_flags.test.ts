import test from 'ava';
import {readDaemonFlags} from '../../bench/fleet/daemon_flags.js';

test('should bound the young generation of the daemon', t => {
  t.true(readDaemonFlags().includes('--max-semi-space-size=1'));
});
