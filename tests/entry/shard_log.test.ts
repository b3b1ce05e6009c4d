import test from 'ava';
import {encodeRecords} from '../../src/decisions/jobs/record_codec.js';
import {AttemptOutcome, LogRecordType} from '../../src/decisions/job_types.js';
import type {LogRecord} from '../../src/decisions/job_types.js';
import {packText, unpackText} from '../../src/entry/shards/packed_text.js';
import {ShardLog} from '../../src/entry/shards/shard_log.js';
import {ConfirmingStore} from '../../src/backends/confirming_store.js';
import {Random} from '../../src/utilities/random.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {specification} from '../jobs/shard_fixture.js';
import {MemoryStore} from '../stand_ins/memory_store.js';

const DEADLINE_MILLIS = 1_000;
const STARTS = 40;

const records: LogRecord[] = [
  {
    type: LogRecordType.SUBMITTED,
    specification: specification(),
    wallTime: 1,
  },
];
for (let task = 0; task < STARTS; task++) {
  const name = {team: 'depot', job: 'route-build', task, attempt: 1};
  const closed = {outcome: AttemptOutcome.FINISHED, resultCode: 0};
  const texts = {checkpoint: '', result: 'tübingen ✓', reason: ''};
  records.push(
    ...[
      {
        ...{type: LogRecordType.PLACED, name, vm: `vm-${task}`},
        ...{incarnation: 'run-1', reason: 'room', wallTime: task},
      },
      {type: LogRecordType.CLOSED, name, ...closed, ...texts, wallTime: task},
    ],
  );
}

function newLog() {
  const clock = new VirtualClock();
  const store = new MemoryStore({clock});
  const settling = new ConfirmingStore({store, clock, random: new Random(1)});
  const settle = async <T>(call: Promise<T>): Promise<T> => {
    await clock.settleUntil(clock.now() + DEADLINE_MILLIS);
    return call;
  };
  const open = () => new ShardLog(0, store, settling);
  return {store, settle, open, log: open()};
}

test('should read the records that it appended, compressed where that is shorter', async t => {
  const {store, settle, open, log} = newLog();
  const few = records.slice(1, 2);
  for (const appended of [records, few]) {
    await settle(log.append(appended, DEADLINE_MILLIS));
  }
  const values = (await settle(store.list('jobs/0/log/'))).values;
  const plain = JSON.stringify(encodeRecords(records));
  t.true(values[0].value.length < plain.length / 2);
  t.true(values[1].value.includes('"rows"'));
  t.deepEqual((await settle(open().read())).records, [...records, ...few]);
});

test('should read a log and a snapshot that were not compressed', async t => {
  const {store, settle, open} = newLog();
  const prefix = 'jobs/0/snapshot/';
  const partsPrefix = `${prefix}parts/000000000004-n/`;
  const head = {sequence: 4, partsPrefix, parts: 1, nonce: 'n'};
  const slot = {sequence: 5, nonce: 'n', records: encodeRecords(records)};
  const values = [
    [`${prefix}head`, JSON.stringify(head)],
    [`${partsPrefix}000`, '{"jobs":[]}'.repeat(STARTS)],
    ['jobs/0/log/0005', JSON.stringify(slot)],
  ];
  for (const [key, value] of values) {
    await settle(store.compareAndSwap(key, 0, value));
  }
  const read = await settle(open().read());
  t.deepEqual(read.records, records);
  t.is(read.snapshot, values[1][1]);
});

test('should read the snapshot that it saved', async t => {
  const {store, settle, open, log} = newLog();
  const text = JSON.stringify(records).repeat(100);
  await settle(log.append(records, DEADLINE_MILLIS));
  await settle(log.saveSnapshot(text));
  const parts = (await settle(store.list('jobs/0/snapshot/parts/'))).values;
  t.is(parts.length, 1);
  t.true(parts[0].value.length < text.length / 5);
  t.deepEqual(await settle(open().read()), {snapshot: text, records: []});
});

for (const text of ['', 'z1:', 'z1:short', '{}', 'a'.repeat(500), 'é✓']) {
  test(`should unpack ${JSON.stringify(text.slice(0, 9))} unchanged`, t => {
    t.is(unpackText(packText(text)), text);
  });
}

test('should reject a truncated packed text', t => {
  const packed = packText(JSON.stringify(records));
  t.throws(() => unpackText(packed.slice(0, packed.length / 2)));
});
