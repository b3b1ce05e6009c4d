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
const DEADLINE_MILLIS = 30_000;
const REQUEST = HeartbeatRequest.decode(new Uint8Array());

/** An entry that processes one heartbeat at a time, each for a fixed time. */
class BusyEntry extends FakeEntry {
  private idleAt = 0;

  constructor(private readonly virtualClock: VirtualClock) {
    super(virtualClock);
    this.nextHeartbeatMillis = 2 * AGENTS * SERVICE_MILLIS;
  }

  override heartbeat(request: HeartbeatRequest) {
    const now = this.virtualClock.now();
    this.idleAt = Math.max(this.idleAt, now) + SERVICE_MILLIS;
    this.replyDelayMillis = this.idleAt - now;
    return super.heartbeat(request);
  }
}

test('should get a reply to all agents when more start at once than an entry serves in a period', async t => {
  const clock = new VirtualClock();
  const links = new FakeLinks(new BusyEntry(clock));
  const repliedAgents = new Set<number>();
  const random = new Random(1);
  const channels = Array.from({length: AGENTS}, (_, agent) => {
    const onReply = () => void repliedAgents.add(agent);
    const logger = new SilentLogger();
    const options = {clock, random, logger, links, onReply};
    return new EntryChannel('entry-1:1', options);
  });
  while (clock.now() < DEADLINE_MILLIS && repliedAgents.size < AGENTS) {
    for (const channel of channels) {
      if (!channel.isDue(clock.now())) continue;
      const agentTime = clock.now();
      void channel.sendHeartbeat({...REQUEST, agentTime}, PERIOD_MILLIS);
    }
    await clock.settleUntil(clock.now() + TICK_MILLIS);
  }
  t.is(repliedAgents.size, AGENTS);
});
