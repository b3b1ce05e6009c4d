import test from 'ava';
import {HeartbeatRequest} from '../../src/protocol/generated/burdockmoor.js';
import {InvalidMessageError} from '../../src/protocol/invalid_message_error.js';
import {checkHeartbeat} from '../../src/protocol/message_checks.js';

const SIZE = {milliprocessors: 1, memoryMegabytes: 1, accelerators: 0};

function createHeartbeat(
  serviceMillis: number,
  slowdown: number,
): HeartbeatRequest {
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

test('should accept a heartbeat with measured times', t => {
  t.notThrows(() => checkHeartbeat(createHeartbeat(12.5, 1.2)));
});

for (const value of [NaN, Infinity, -1]) {
  test(`should reject a heartbeat with a measurement of ${value}`, t => {
    const instanceOf = InvalidMessageError;
    t.throws(() => checkHeartbeat(createHeartbeat(value, 1)), {instanceOf});
    t.throws(() => checkHeartbeat(createHeartbeat(1, value)), {instanceOf});
  });
}
