import {mergeArray} from 'most';
import {Events} from '../observability/events.js';
import type {Logger} from '../observability/logger.js';
import {messageOf} from '../utilities/base_error.js';
import type {Clock} from '../utilities/clock.js';
import {Ticker} from '../utilities/event_source.js';
import type {EntryParts} from './entry_parts.js';
import {StoreLeaseKeeper} from './membership/store_lease_keeper.js';

const SETTINGS_PERIOD_MILLIS = 1_000;
const MEMBERSHIP_PERIOD_MILLIS = 1_000;
const DECIDE_PERIOD_MILLIS = 50;
const HOUSEKEEPING_PERIOD_MILLIS = 1_000;

/** What wakes the entry's loop. */
const EntryTick = {
  LEASE: 'lease',
  SETTINGS: 'settings',
  MEMBERSHIP: 'membership',
  DECIDE: 'decide',
  HOUSEKEEPING: 'housekeeping',
} as const;
type EntryTick = (typeof EntryTick)[keyof typeof EntryTick];

/** Calls the parts of an entry that work from time to time. */
export class EntryLoop {
  private readonly tickers: ReadonlyArray<Ticker<EntryTick>>;

  constructor(
    private readonly parts: EntryParts,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.tickers = createTickers(clock);
  }

  /** Begins to tick, and does at once what takes the store. */
  async start(): Promise<void> {
    const {membership, follower} = this.parts;
    const ticks = mergeArray(this.tickers.map(ticker => ticker.stream));
    void ticks.observe(tick => this.onTick(tick));
    for (const ticker of this.tickers) ticker.start();
    await membership.lease.renew();
    await follower.refresh();
    await this.refreshMembership();
  }

  /** Ends the ticking; what is under way goes on. */
  dispose(): void {
    for (const ticker of this.tickers) ticker.dispose();
  }

  private onTick(tick: EntryTick): void {
    try {
      this.act(tick);
    } catch (error) {
      const reason = messageOf(error);
      this.logger.event(Events.UNEXPECTED_FAULT, {tick, reason});
    }
  }

  private act(tick: EntryTick): void {
    const {membership, follower, shards} = this.parts;
    switch (tick) {
      case EntryTick.LEASE:
        return void membership.lease.renew();
      case EntryTick.SETTINGS:
        return void follower.refresh();
      case EntryTick.MEMBERSHIP:
        return void this.refreshMembership();
      case EntryTick.DECIDE:
        return shards.decide();
      case EntryTick.HOUSEKEEPING:
        return this.keepHouse();
    }
  }

  private keepHouse(): void {
    const {agents, router, alarms, peers} = this.parts;
    const now = this.clock.now();
    for (const agent of agents.silent(now)) {
      router.removeUpstream(agent.agentId, 'it is silent', now);
    }
    agents.forgetLongSilent(now);
    alarms.check(now);
    void peers.exchange();
  }

  private async refreshMembership(): Promise<void> {
    const {membership, shards} = this.parts;
    if (!(await membership.refresh())) return;
    await shards.rebalance();
  }
}

function createTickers(clock: Clock): ReadonlyArray<Ticker<EntryTick>> {
  const periods: ReadonlyArray<readonly [EntryTick, number]> = [
    [EntryTick.LEASE, StoreLeaseKeeper.renewalPeriodMillis],
    [EntryTick.SETTINGS, SETTINGS_PERIOD_MILLIS],
    [EntryTick.MEMBERSHIP, MEMBERSHIP_PERIOD_MILLIS],
    [EntryTick.DECIDE, DECIDE_PERIOD_MILLIS],
    [EntryTick.HOUSEKEEPING, HOUSEKEEPING_PERIOD_MILLIS],
  ];
  return periods.map(([tick, millis]) => new Ticker(clock, millis, tick));
}
