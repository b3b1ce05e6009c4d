import test from 'ava';
import {HeartbeatRequest} from '../../src/protocol/generated/burdockmoor.js';
import {InvalidMessageError} from '../../src/protocol/invalid_message_error.js';
import {checkHeartbeat} from '../../src/protocol/message_checks.js';

const SIZE = {milliprocessors: 1, memoryMegabytes: 1, accelerators: 0};

function heartbeat(serviceMillis: number, slowdown: number): HeartbeatRequest {
  return {
    ...HeartbeatRequest.decode(new Uint8Array()),
    agentId: 'vm-1',
    incarnation: 'run-1',
    failureDomain: 'tema',
    address: '127.0.0.1:1',
    capacity: SIZE,
    committed: SIZE,
    executors: [
      {
        service: 'rounds',
        team: 'depot',
        slots: 8,
        inFlight: 0,
        queued: 0,
        serviceMillis,
        tailMillis: 0,
        draining: false,
        unavailable: false,
      },
    ],
    interference: [{service: 'rounds', taskKind: 'batch', slowdown}],
  };
}

test('should take a heartbeat with measured times', t => {
  t.notThrows(() => checkHeartbeat(heartbeat(12.5, 1.2)));
});

for (const value of [NaN, Infinity, -1]) {
  test(`should refuse a heartbeat with ${value} as a measure`, t => {
    const instanceOf = InvalidMessageError;
    t.throws(() => checkHeartbeat(heartbeat(value, 1)), {instanceOf});
    t.throws(() => checkHeartbeat(heartbeat(1, value)), {instanceOf});
  });
}
