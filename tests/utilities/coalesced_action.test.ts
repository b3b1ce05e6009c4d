import test from 'ava';
import {CoalescedAction} from '../../src/utilities/coalesced_action.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';

const MAXIMUM_SHARE = 0.25;

/** An action that takes a given virtual time and counts its runs. */
class CountedAction {
  readonly clock = new VirtualClock();
  runs = 0;
  readonly coalesced: CoalescedAction;

  constructor(durationMillis: number) {
    this.coalesced = new CoalescedAction({
      clock: this.clock,
      maximumShare: MAXIMUM_SHARE,
      action: () => {
        this.runs++;
        this.clock.runUntil(this.clock.now() + durationMillis);
      },
    });
  }

  /** Schedules the action and lets an immediately due run happen. */
  async scheduleAndFlush(): Promise<void> {
    this.coalesced.schedule();
    await new Promise(resolve => setImmediate(resolve));
  }
}

test('should run once for all requests of one event loop turn', async t => {
  const countedAction = new CountedAction(0);
  countedAction.coalesced.schedule();
  await countedAction.scheduleAndFlush();
  t.is(countedAction.runs, 1);
});

test('should delay the next run in proportion to a long run', async t => {
  const countedAction = new CountedAction(10);
  await countedAction.scheduleAndFlush();
  await countedAction.scheduleAndFlush();
  countedAction.clock.runUntil(39);
  t.is(countedAction.runs, 1);
  countedAction.clock.runUntil(40);
  t.is(countedAction.runs, 2);
});

test('should bound the delay after a run in which the process was suspended', async t => {
  const countedAction = new CountedAction(6_000);
  await countedAction.scheduleAndFlush();
  await countedAction.scheduleAndFlush();
  countedAction.clock.runUntil(countedAction.clock.now() + 500);
  t.is(countedAction.runs, 2);
});

test('should not run after it is closed', async t => {
  const countedAction = new CountedAction(0);
  countedAction.coalesced.schedule();
  countedAction.coalesced.close();
  await countedAction.scheduleAndFlush();
  t.is(countedAction.runs, 0);
});
