import test from 'ava';
import fc from 'fast-check';
import {HeartbeatRequest} from '../../src/protocol/generated/burdockmoor.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {HeartbeatPair, UNDISTURBED} from './fixtures/heartbeat_pair.js';
import type {HeartbeatDelivery} from './fixtures/heartbeat_pair.js';

const SEED = 515;
const SETTLE_MILLIS = 5_000;
const MAXIMUM_DELTAS = 64;

type Change = (pair: HeartbeatPair, value: number) => void;

/** Changes that may happen between two heartbeats. */
const CHANGES: readonly Change[] = [
  () => {},
  ({agent}, value) => {
    const [executor] = agent.service.executors;
    agent.service.executors = [{...executor, inFlight: value % 3}];
  },
  ({agent}, value) => {
    const [executor] = agent.service.executors;
    const draining = value % 2 === 0;
    agent.service.executors = [{...executor, draining, tailMillis: value / 7}];
  },
  ({agent}, value) => {
    const {executors} = agent.service;
    agent.service.executors = executors
      .slice(0, value % 2)
      .concat(executors[0]);
  },
  ({agent}, value) => {
    const size = {milliprocessors: value, memoryMegabytes: 1, accelerators: 0};
    agent.ledger.adopt(`task-${value % 2}`, size);
  },
  ({agent}, value) => agent.ledger.release(`task-${value % 2}`),
  ({agent}, value) => {
    const slowdown = 1 + (value % 3) / 10;
    const sample = {service: 'rounds', taskKind: 'build', slowdown};
    agent.service.interference = [sample].slice(0, value % 2);
  },
  ({agent}, value) => (agent.runningAttempts = value % 4),
  ({agent}, value) => (agent.context.stopping = value % 2 === 0),
  ({agent}, value) => (agent.settings.revision += value),
  ({agent}, value) => {
    const tasks = value % 2 === 0 ? [] : undefined;
    agent.context.workerStatus = tasks && {
      ...{workerTime: 0, tasks, capacity: agent.ledger.capacity},
    };
  },
  ({agent}, value) => (agent.service.teams = ['depot', 'b'].slice(value % 2)),
  pair => pair.restartAgent(),
  (pair, value) => pair.restartEntry(value % 2),
  (pair, value) =>
    void pair.entries[value % 2].owned.set(value % 3, {
      ...{shard: value % 3, epoch: value},
    }),
  (pair, value) => void pair.entries[value % 2].owned.delete(value % 3),
  (pair, value) => {
    const entry = {entryId: 'entry-1', address: '127.0.0.1:3'};
    const failureDomain = `domain-${value % 2}`;
    pair.entries[value % 2].entries = [{...entry, failureDomain}];
  },
];

const deliveries: fc.Arbitrary<HeartbeatDelivery> = fc.record({
  requestDelayMillis: fc.constantFrom(0, 0, 50, 700),
  replyDelayMillis: fc.constantFrom(0, 0, 50, 200),
  lost: fc.constantFrom('nothing', 'nothing', 'nothing', 'request', 'reply'),
  repeated: fc.boolean(),
});
const steps = fc.array(
  fc.record({
    change: fc.nat(CHANGES.length - 1),
    value: fc.nat(6),
    fate: deliveries,
    passMillis: fc.constantFrom(1, 10, 60, 900),
  }),
  {minLength: 5, maxLength: 40},
);

/** Fails unless the state in each entry equals a heartbeat of the agent. */
function checkHeldStates(pair: HeartbeatPair): void {
  for (const position of [0, 1]) {
    const {held, built} = pair.states(position);
    const [found, expected] = [held, built].map(state => JSON.stringify(state));
    if (found !== expected) throw new Error(`held ${found}, built ${expected}`);
  }
}

/** Fails unless the entries have the newest state and the agent their views. */
async function checkConverged(pair: HeartbeatPair): Promise<void> {
  pair.delivery = UNDISTURBED;
  await pair.exchangeHeartbeats(SETTLE_MILLIS);
  pair.replies.length = 0;
  const {length: nextSequence} = pair.agent.builtHeartbeats;
  await pair.exchangeHeartbeats();
  for (const [position, entry] of pair.entries.entries()) {
    const held = entry.agents.find('vm-1')!.heartbeat;
    const isNewest = held.sequence >= nextSequence;
    if (!isNewest || held.incarnation !== pair.agent.incarnation) {
      throw new Error(
        `entry ${position} has an old state: sequence ${held.sequence}`,
      );
    }
    const reply = pair.replies.find(
      ({entryId}) => entryId === `entry-${position}`,
    );
    const actual = JSON.stringify([reply?.leases, reply?.entries]);
    const expected = JSON.stringify([[...entry.owned.values()], entry.entries]);
    if (actual !== expected) throw new Error(`sent ${actual}, not ${expected}`);
  }
  checkHeldStates(pair);
}

test('should lead to the same state with deltas as with full heartbeats under loss, repetition, reordering and restarts', async t => {
  let deltas = 0;
  const property = fc.asyncProperty(steps, async drawnSteps => {
    const pair = new HeartbeatPair(new VirtualClock());
    for (const {change, value, fate, passMillis} of drawnSteps) {
      CHANGES[change](pair, value);
      pair.delivery = fate;
      await pair.exchangeHeartbeats(passMillis);
      checkHeldStates(pair);
    }
    await checkConverged(pair);
    deltas += pair.received.filter(request => request.session !== 0).length;
  });
  await fc.assert(property, {
    seed: SEED,
    numRuns: 400,
    includeErrorInReport: true,
  });
  t.true(deltas > 1_000);
});

test('should send only changes to an entry that has replied', async t => {
  const pair = new HeartbeatPair(new VirtualClock());
  await pair.exchangeHeartbeats();
  await pair.exchangeHeartbeats();
  const unchangedDelta = pair.received.at(-1)!;
  t.deepEqual(
    {...unchangedDelta, session: 0},
    {
      ...HeartbeatRequest.decode(new Uint8Array()),
      ...{sequence: 3, agentTime: 10, baseDistance: 2, viewVersion: 1},
      recovering: true,
    },
  );
  t.true(HeartbeatRequest.encode(unchangedDelta).finish().length < 25);
});

const IMMEDIATE_CHANGES: Readonly<Record<string, [Change, object]>> = {
  'a stop': [({agent}) => (agent.context.stopping = true), {stopping: true}],
  'a drain': [
    ({agent}) => (agent.service.executors[0].draining = true),
    {executors: [{draining: true}]},
  ],
  'a new run': [pair => pair.restartAgent(), {incarnation: 'run-1'}],
};

for (const [name, [change, expected]] of Object.entries(IMMEDIATE_CHANGES)) {
  test(`should report ${name} with the next heartbeat`, async t => {
    const pair = new HeartbeatPair(new VirtualClock());
    await pair.exchangeHeartbeats();
    await pair.exchangeHeartbeats();
    change(pair, 1);
    await pair.exchangeHeartbeats();
    for (const position of [0, 1]) {
      t.like(pair.states(position).held, expected);
    }
  });
}

test('should send a full heartbeat at once when a restarted entry asks for it', async t => {
  const pair = new HeartbeatPair(new VirtualClock());
  pair.entries[0].owned.set(1, {shard: 1, epoch: 5});
  await pair.exchangeHeartbeats();
  pair.restartEntry(0);
  pair.replies.length = 0;
  await pair.exchangeHeartbeats();
  t.truthy(pair.states(0).held);
  const fromRestarted = pair.replies.filter(
    ({entryId}) => entryId === 'entry-0',
  );
  // The reply that asks for a resync isn't passed on. The restarted entry owns
  // no shard.
  t.deepEqual(
    fromRestarted.map(({leases}) => leases),
    [[]],
  );
  t.is(pair.replies.length, 2);
});

test('should send a full heartbeat after the maximum number of deltas', async t => {
  const pair = new HeartbeatPair(new VirtualClock());
  for (let beat = 0; beat < MAXIMUM_DELTAS + 2; beat++)
    await pair.exchangeHeartbeats();
  const full = pair.received.filter(request => request.session === 0);
  t.is(full.length, 4);
});
