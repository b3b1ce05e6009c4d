import test from 'ava';
import {SlotQueue} from '../../src/decisions/admission/slot_queue.js';
import type {SlotItem} from '../../src/decisions/admission/slot_queue.js';
import {ResultCodes} from '../../src/observability/result_codes.js';

function item(id: string, deadlineAt = 1000): SlotItem<string> {
  return {id, deadlineAt, value: id};
}

function idsOf(items: Array<SlotItem<string>>): string[] {
  return items.map(({id}) => id);
}

/** A queue that has seen a request hold its slot for 100 ms. */
function learnedQueue(connections = 64, slots = 1): SlotQueue<string> {
  const queue = new SlotQueue<string>({slots, connections});
  queue.offer(item('learn'), 0);
  queue.release('learn', 100, 100);
  return queue;
}

test('should run what fits and queue the rest in order of arrival', t => {
  const queue = new SlotQueue<string>({slots: 2, connections: 64});
  const decisions = ['a', 'b', 'c', 'd'].map(
    id => queue.offer(item(id), 0).kind,
  );
  t.deepEqual(decisions, ['run', 'run', 'queued', 'queued']);
  t.deepEqual(idsOf(queue.release('b', 10, 10).run), ['c']);
  t.deepEqual(idsOf(queue.release('a', 20, 20).run), ['d']);
  t.deepEqual([queue.inFlight, queue.queued], [2, 0]);
});

test('should refuse a request that would wait past its deadline', t => {
  const queue = learnedQueue();
  queue.offer(item('running'), 100);
  t.is(queue.offer(item('late', 150), 100).kind, 'refused');
  t.is(queue.offer(item('in time', 350), 100).kind, 'queued');
});

test('should refuse a request that would not end in time', t => {
  const queue = learnedQueue();
  queue.offer(item('running'), 100);
  t.is(queue.offer(item('too late', 250), 100).kind, 'refused');
});

test('should run a request with a short deadline if a slot is free', t => {
  const queue = learnedQueue();
  t.is(queue.offer(item('short', 110), 100).kind, 'run');
});

test('should refuse above the connections and return when to retry', t => {
  const queue = learnedQueue(2);
  queue.offer(item('running'), 100);
  queue.offer(item('queued'), 100);
  const decision = queue.offer(item('above', 99999), 100);
  t.deepEqual(decision, {
    kind: 'refused',
    code: ResultCodes.QUEUE_FULL,
    retryAfterMillis: 100,
  });
});

test('should report queued requests whose deadline passed as not run', t => {
  const queue = new SlotQueue<string>({slots: 1, connections: 64});
  queue.offer(item('running'), 0);
  queue.offer(item('patient', 900), 0);
  queue.offer(item('hasty', 50), 0);
  t.is(queue.nextDeadline(), 50);
  const {run, expired} = queue.release('running', 60, 60);
  t.deepEqual(idsOf(run), ['patient']);
  t.deepEqual(idsOf(expired), ['hasty']);
  t.is(queue.nextDeadline(), undefined);
});

test('should free no slot for an id that does not run', t => {
  const queue = new SlotQueue<string>({slots: 1, connections: 64});
  queue.offer(item('running'), 0);
  queue.offer(item('queued'), 0);
  t.deepEqual(queue.release('queued', 10, 10).run, []);
  t.is(queue.inFlight, 1);
});

test('should remove a queued request whose caller disconnected', t => {
  const queue = new SlotQueue<string>({slots: 1, connections: 64});
  queue.offer(item('running'), 0);
  queue.offer(item('gone'), 0);
  t.true(queue.remove('gone'));
  t.false(queue.remove('running'));
  t.deepEqual(queue.release('running', 10, 10).run, []);
});

test('should refuse new requests while draining and run the queued ones', t => {
  const queue = new SlotQueue<string>({slots: 1, connections: 64});
  queue.offer(item('running'), 0);
  queue.offer(item('queued'), 0);
  queue.drain();
  const decision = queue.offer(item('new'), 0);
  t.is(decision.kind === 'refused' && decision.code.name, 'UPSTREAM_DRAINING');
  t.deepEqual(idsOf(queue.release('running', 10, 10).run), ['queued']);
});

test('should report a stalled executor as slow before requests end', t => {
  const queue = learnedQueue(64, 2);
  queue.offer(item('stalled', 99999), 100);
  queue.offer(item('stalled too', 99999), 100);
  t.is(queue.offer(item('first', 5000), 100).kind, 'queued');
  t.is(queue.offer(item('later', 5000), 4000).kind, 'refused');
  t.true(queue.serviceMillis > 900);
});

test('should not treat one long-running request as a stall', t => {
  const queue = learnedQueue(64, 4);
  for (const id of ['long', 'longer']) queue.offer(item(id, 99999), 100);
  for (const id of ['short', 'shorter']) queue.offer(item(id, 99999), 3950);
  queue.offer(item('queued', 99999), 4000);
  t.is(queue.serviceMillis, 100);
});

test('should start fewer requests after its slots were reduced', t => {
  const queue = new SlotQueue<string>({slots: 2, connections: 64});
  queue.offer(item('a'), 0);
  queue.offer(item('b'), 0);
  queue.offer(item('c'), 0);
  queue.setCapacity({slots: 1, connections: 64});
  t.deepEqual(queue.release('a', 10, 10).run, []);
  t.deepEqual(idsOf(queue.release('b', 10, 20).run), ['c']);
});
