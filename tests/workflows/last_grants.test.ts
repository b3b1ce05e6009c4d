import test from 'ava';
import {
  LeaseBasis,
  PoolAttachments,
} from '../../src/entry/workflows/pool_attachments.js';
import {WorkerAttachment} from '../../src/entry/workflows/worker_attachment.js';
import type {WorkerListener} from '../../src/entry/workflows/worker_attachment.js';
import {WorkerView} from '../../src/decisions/workflows/worker_view.js';
import {SilentLogger} from '../../src/observability/logger.js';
import {WorkerUpdate} from '../../src/protocol/generated/burdockmoor.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {NO_RESOURCES} from '../../src/utilities/resources.js';

const OWNER_TTL_MILLIS = 2_000;
const LEASE_MILLIS = 5_700;
const TRAITS = {
  incarnation: 'named',
  service: 'service',
  failureDomain: 'domain',
  rack: 'rack',
  labels: [],
  room: NO_RESOURCES,
  draining: false,
  remainingMillis: 0,
};

/** An owner since time 0, and the stream of one agent. */
function attach() {
  const clock = new VirtualClock();
  const logger = new SilentLogger();
  const attachments = new PoolAttachments({
    clock,
    logger,
    runLeaseMillis: LEASE_MILLIS,
    soleSince: OWNER_TTL_MILLIS,
  });
  const listener = {
    onAttached: (each: WorkerAttachment) => attachments.add(each),
    onWorker: (agent: string) => new WorkerView('agent/named', agent, TRAITS),
    onLeaseGranted: () => {},
  } as unknown as WorkerListener;
  const attachment = new WorkerAttachment({
    attachment: {send: () => true, close: () => {}},
    listener,
    clock,
    logger,
    epoch: 2,
    leaseMillis: () => LEASE_MILLIS,
  });
  let sequence = 0;
  const update = (at: number, fields: Partial<WorkerUpdate>): void => {
    clock.runUntil(at);
    const none = WorkerUpdate.decode(new Uint8Array());
    attachment.onMessage({...none, sequence: ++sequence, ...fields});
  };
  return {attachments, update};
}

// Guards against a lease that is counted from a moment before its last grant.
test('should count from the statement of an agent heard after the hand-over', t => {
  const {attachments, update} = attach();
  update(500, {agent: 'agent', exclusiveMillis: 700});
  update(OWNER_TTL_MILLIS, {});
  const expected = {at: -200, basis: LeaseBasis.AGENT};
  t.deepEqual(attachments.lastGrantOf('agent/lost'), expected);
});

test('should count from the hand-over until the agent is heard after it', t => {
  const {attachments, update} = attach();
  update(500, {agent: 'agent', exclusiveMillis: 700});
  update(OWNER_TTL_MILLIS - 1, {});
  const expected = {at: OWNER_TTL_MILLIS, basis: LeaseBasis.HAND_OVER};
  t.deepEqual(attachments.lastGrantOf('agent/lost'), expected);
});

test('should count from the hand-over for an agent that makes no statement', t => {
  const {attachments, update} = attach();
  update(100, {agent: 'agent'});
  update(OWNER_TTL_MILLIS + 100, {});
  const expected = {at: OWNER_TTL_MILLIS, basis: LeaseBasis.HAND_OVER};
  t.deepEqual(attachments.lastGrantOf('agent/lost'), expected);
});

test('should count from the hand-over for a worker that the agent has named', t => {
  const {attachments, update} = attach();
  const worker = {...TRAITS, labels: []};
  update(500, {agent: 'agent', exclusiveMillis: 700, worker});
  update(OWNER_TTL_MILLIS, {});
  const expected = {at: OWNER_TTL_MILLIS, basis: LeaseBasis.HAND_OVER};
  t.deepEqual(attachments.lastGrantOf('agent/named'), expected);
});

test("should count from this owner's own later grant", t => {
  const {attachments, update} = attach();
  update(500, {agent: 'agent', exclusiveMillis: 700});
  update(OWNER_TTL_MILLIS, {});
  attachments.recordGrant('agent/lost', 2_500);
  const expected = {at: 2_500, basis: LeaseBasis.GRANT};
  t.deepEqual(attachments.lastGrantOf('agent/lost'), expected);
});
