import {mergeArray} from 'most';
import {Events} from '../observability/events.js';
import type {Logger} from '../observability/logger.js';
import {messageOf} from '../utilities/base_error.js';
import type {Clock} from '../utilities/clock.js';
import {Ticker} from '../utilities/event_source.js';
import type {EntryComponents} from './entry_components.js';
import {StoreLeaseKeeper} from './membership/store_lease_keeper.js';

const SETTINGS_PERIOD_MILLIS = 1_000;
const MEMBERSHIP_PERIOD_MILLIS = 1_000;
const DECIDE_PERIOD_MILLIS = 50;
const HOUSEKEEPING_PERIOD_MILLIS = 1_000;

/** The kinds of ticks that the entry's loop handles. */
const EntryTick = {
  LEASE: 'lease',
  SETTINGS: 'settings',
  MEMBERSHIP: 'membership',
  DECIDE: 'decide',
  HOUSEKEEPING: 'housekeeping',
} as const;
type EntryTick = (typeof EntryTick)[keyof typeof EntryTick];

/** Runs the periodic work of an entry's components. */
export class EntryLoop {
  private readonly tickers: ReadonlyArray<Ticker<EntryTick>>;

  constructor(
    private readonly components: EntryComponents,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.tickers = createTickers(clock);
  }

  /**
   * Starts the tickers, and at once gets the lease, the settings and the
   * membership from the store.
   */
  async start(): Promise<void> {
    const {membership, follower} = this.components;
    const ticks = mergeArray(this.tickers.map(ticker => ticker.stream));
    void ticks.observe(tick => this.onTick(tick));
    for (const ticker of this.tickers) ticker.start();
    await membership.lease.renew();
    await follower.refresh();
    await this.refreshMembership();
  }

  /** Stops the tickers; operations in progress continue. */
  dispose(): void {
    for (const ticker of this.tickers) ticker.dispose();
  }

  private onTick(tick: EntryTick): void {
    try {
      this.runTick(tick);
    } catch (error) {
      const reason = messageOf(error);
      this.logger.event(Events.UNEXPECTED_FAULT, {tick, reason});
    }
  }

  private runTick(tick: EntryTick): void {
    const {membership, follower, shards} = this.components;
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
        return this.doHousekeeping();
    }
  }

  private doHousekeeping(): void {
    const {agents, router, alarms, peers} = this.components;
    const now = this.clock.now();
    for (const agent of agents.silent(now)) {
      router.removeUpstream(
        agent.agentId,
        'it sent no heartbeat for too long',
        now,
      );
    }
    agents.removeLongSilent(now);
    alarms.check(now);
    void peers.exchange();
  }

  private async refreshMembership(): Promise<void> {
    const {membership, shards} = this.components;
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
