import test from 'ava';
import fc from 'fast-check';
import {HeartbeatRequest} from '../../src/protocol/generated/burdockmoor.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {HeartbeatPair, SMOOTH} from './fixtures/heartbeat_pair.js';
import type {HeartbeatFate} from './fixtures/heartbeat_pair.js';

const SEED = 515;
const LONG_MILLIS = 5_000;
const MAXIMUM_DELTAS = 64;

type Change = (pair: HeartbeatPair, value: number) => void;

/** What may happen between two heartbeats. */
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
  ({agent}, value) => (agent.running = value % 4),
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

const fates: fc.Arbitrary<HeartbeatFate> = fc.record({
  requestDelayMillis: fc.constantFrom(0, 0, 50, 700),
  replyDelayMillis: fc.constantFrom(0, 0, 50, 200),
  lost: fc.constantFrom('nothing', 'nothing', 'nothing', 'request', 'reply'),
  repeated: fc.boolean(),
});
const steps = fc.array(
  fc.record({
    change: fc.nat(CHANGES.length - 1),
    value: fc.nat(6),
    fate: fates,
    passMillis: fc.constantFrom(1, 10, 60, 900),
  }),
  {minLength: 5, maxLength: 40},
);

/** Fails where an entry holds what the agent never said in one heartbeat. */
function checkHeld(pair: HeartbeatPair): void {
  for (const position of [0, 1]) {
    const {held, built} = pair.states(position);
    const [left, right] = [held, built].map(state => JSON.stringify(state));
    if (left !== right) throw new Error(`held ${left}, built ${right}`);
  }
}

/** Fails unless both entries hold the newest state, and the agent their views. */
async function checkSettled(pair: HeartbeatPair): Promise<void> {
  pair.fate = SMOOTH;
  await pair.beat(LONG_MILLIS);
  pair.replies.length = 0;
  const {length: built} = pair.agent.built;
  await pair.beat();
  for (const [position, entry] of pair.entries.entries()) {
    const held = entry.agents.find('vm-1')!.heartbeat;
    const isNewest = held.sequence >= built;
    if (!isNewest || held.incarnation !== pair.agent.incarnation) {
      throw new Error(`entry ${position} is behind at ${held.sequence}`);
    }
    const reply = pair.replies.find(
      ({entryId}) => entryId === `entry-${position}`,
    );
    const told = JSON.stringify([reply?.leases, reply?.entries]);
    const wanted = JSON.stringify([[...entry.owned.values()], entry.entries]);
    if (told !== wanted) throw new Error(`told ${told}, not ${wanted}`);
  }
  checkHeld(pair);
}

test('should tell by deltas what full heartbeats would, whatever is lost, repeated, overtaken or restarted', async t => {
  let deltas = 0;
  const property = fc.asyncProperty(steps, async drawn => {
    const pair = new HeartbeatPair(new VirtualClock());
    for (const {change, value, fate, passMillis} of drawn) {
      CHANGES[change](pair, value);
      pair.fate = fate;
      await pair.beat(passMillis);
      checkHeld(pair);
    }
    await checkSettled(pair);
    deltas += pair.received.filter(request => request.session !== 0).length;
  });
  await fc.assert(property, {
    seed: SEED,
    numRuns: 400,
    includeErrorInReport: true,
  });
  t.true(deltas > 1_000);
});

test('should say only what changed to an entry that answered', async t => {
  const pair = new HeartbeatPair(new VirtualClock());
  await pair.beat();
  await pair.beat();
  const quiet = pair.received.at(-1)!;
  t.deepEqual(
    {...quiet, session: 0},
    {
      ...HeartbeatRequest.decode(new Uint8Array()),
      ...{sequence: 3, agentTime: 10, baseDistance: 2, viewVersion: 1},
      recovering: true,
    },
  );
  t.true(HeartbeatRequest.encode(quiet).finish().length < 25);
});

const SEEN_AT_ONCE: Readonly<Record<string, [Change, object]>> = {
  'a stop': [({agent}) => (agent.context.stopping = true), {stopping: true}],
  'a drain': [
    ({agent}) => (agent.service.executors[0].draining = true),
    {executors: [{draining: true}]},
  ],
  'a new run': [pair => pair.restartAgent(), {incarnation: 'run-1'}],
};

for (const [name, [change, wanted]] of Object.entries(SEEN_AT_ONCE)) {
  test(`should tell ${name} with the next heartbeat`, async t => {
    const pair = new HeartbeatPair(new VirtualClock());
    await pair.beat();
    await pair.beat();
    change(pair, 1);
    await pair.beat();
    for (const position of [0, 1]) {
      t.like(pair.states(position).held, wanted);
    }
  });
}

test('should be asked for a full heartbeat at once by an entry that was restarted', async t => {
  const pair = new HeartbeatPair(new VirtualClock());
  pair.entries[0].owned.set(1, {shard: 1, epoch: 5});
  await pair.beat();
  pair.restartEntry(0);
  pair.replies.length = 0;
  await pair.beat();
  t.truthy(pair.states(0).held);
  const told = pair.replies.filter(({entryId}) => entryId === 'entry-0');
  // The reply that asked confirms nothing: the restarted entry owns no shard.
  t.deepEqual(
    told.map(({leases}) => leases),
    [[]],
  );
  t.is(pair.replies.length, 2);
});

test('should send a full heartbeat now and then', async t => {
  const pair = new HeartbeatPair(new VirtualClock());
  for (let beat = 0; beat < MAXIMUM_DELTAS + 2; beat++) await pair.beat();
  const full = pair.received.filter(request => request.session === 0);
  t.is(full.length, 4);
});
