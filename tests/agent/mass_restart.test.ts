import test from 'ava';
import {EntryChannel} from '../../src/agent/entry_channel.js';
import {SilentLogger} from '../../src/observability/logger.js';
import {HeartbeatRequest} from '../../src/protocol/generated/burdockmoor.js';
import {Random} from '../../src/utilities/random.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {FakeEntry, FakeLinks} from './fixtures/fake_entry.js';

const AGENTS = 600;
const SERVICE_MILLIS = 5;
const PERIOD_MILLIS = 1_000;
const TICK_MILLIS = 100;
const BUDGET_MILLIS = 30_000;
const REQUEST = HeartbeatRequest.decode(new Uint8Array());

/** An entry that takes heartbeats one after another, each for some time. */
class BusyEntry extends FakeEntry {
  private freeAt = 0;

  constructor(private readonly virtualClock: VirtualClock) {
    super(virtualClock);
    this.nextHeartbeatMillis = 2 * AGENTS * SERVICE_MILLIS;
  }

  override heartbeat(request: HeartbeatRequest) {
    const now = this.virtualClock.now();
    this.freeAt = Math.max(this.freeAt, now) + SERVICE_MILLIS;
    this.replyDelayMillis = this.freeAt - now;
    return super.heartbeat(request);
  }
}

test('should all be heard when more agents start at once than an entry answers in a period', async t => {
  const clock = new VirtualClock();
  const links = new FakeLinks(new BusyEntry(clock));
  const heard = new Set<number>();
  const random = new Random(1);
  const channels = Array.from({length: AGENTS}, (_, agent) => {
    const onReply = () => void heard.add(agent);
    const logger = new SilentLogger();
    const options = {clock, random, logger, links, onReply};
    return new EntryChannel('entry-1:1', options);
  });
  while (clock.now() < BUDGET_MILLIS && heard.size < AGENTS) {
    for (const channel of channels) {
      if (!channel.isDue(clock.now())) continue;
      const agentTime = clock.now();
      void channel.beat({...REQUEST, agentTime}, PERIOD_MILLIS);
    }
    await clock.settleUntil(clock.now() + TICK_MILLIS);
  }
  t.is(heard.size, AGENTS);
});
