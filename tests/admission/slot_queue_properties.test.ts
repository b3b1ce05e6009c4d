import test from 'ava';
import fc from 'fast-check';
import {SlotQueue} from '../../src/decisions/admission/slot_queue.js';

const SLOTS = 3;
const CONNECTIONS = 6;

const step = fc.record({
  action: fc.constantFrom('offer', 'release', 'expire', 'remove', 'drain'),
  elapsedMillis: fc.nat(40),
  leftMillis: fc.nat(200),
  pick: fc.nat(),
});

test('should end every request once and stay within slots and connections', t => {
  const steps = fc.array(step, {minLength: 20, maxLength: 200});
  const property = fc.property(steps, actions => {
    const queue = new SlotQueue<number>({
      slots: SLOTS,
      connections: CONNECTIONS,
    });
    const running = new Map<string, number>();
    const queued = new Set<string>();
    let now = 0;
    const begin = (id: string) => {
      if (!queued.delete(id)) throw new Error(`${id} began but was not queued`);
      running.set(id, now);
    };
    const end = (id: string) => {
      if (!queued.delete(id))
        throw new Error(`${id} expired but was not queued`);
    };
    for (const [
      index,
      {action, elapsedMillis, leftMillis, pick},
    ] of actions.entries()) {
      now += elapsedMillis;
      if (action === 'offer') {
        const id = `r${index}`;
        const item = {id, deadlineAt: now + leftMillis, value: index};
        const decision = queue.offer(item, now);
        if (decision.kind === 'run') running.set(id, now);
        if (decision.kind === 'queued') queued.add(id);
      }
      if (action === 'release' && running.size > 0) {
        const id = [...running.keys()][pick % running.size];
        const held = now - (running.get(id) ?? now);
        running.delete(id);
        const {run, expired} = queue.release(id, held, now);
        for (const item of run) begin(item.id);
        for (const item of expired) end(item.id);
      }
      if (action === 'expire') {
        for (const item of queue.expire(now)) end(item.id);
      }
      if (action === 'remove' && queued.size > 0) {
        const id = [...queued][pick % queued.size];
        queued.delete(id);
        if (!queue.remove(id)) return false;
      }
      if (action === 'drain' && index > 150) queue.drain();
      if (queue.inFlight !== running.size) return false;
      if (queue.queued !== queued.size) return false;
      if (running.size > SLOTS) return false;
      if (running.size + queued.size > CONNECTIONS) return false;
    }
    return true;
  });
  t.notThrows(() => fc.assert(property, {seed: 1, numRuns: 300}));
});
