import type {HeartbeatRequest} from '../protocol/generated/burdockmoor.js';
import type {AgentContext} from './agent_context.js';
import type {EntryChannel} from './entry_channel.js';
import type {EntryDirectory} from './entry_directory.js';
import {HeartbeatDeltas} from './heartbeat_deltas.js';

/** Age of the settings, as a share of what is fresh, from which it asks. */
const CONFIRM_AFTER_SHARE = 0.75;

/** Least time between two such questions, as a share of the same. */
const ASK_AGAIN_SHARE = 0.5;

/** Sends heartbeats to every entry that the agent knows. */
export class HeartbeatSender {
  private readonly deltas = new HeartbeatDeltas();
  private waiters: Array<() => void> = [];

  constructor(
    private readonly context: AgentContext,
    private readonly directory: EntryDirectory,
    private readonly buildRequest: () => HeartbeatRequest,
  ) {}

  tick(now: number): void {
    const channels = this.directory.current(now);
    for (const channel of channels) {
      if (channel.isDue(now)) void this.beat(channel);
    }
    if (this.isConfirmationDue(now, channels)) this.beatNext(channels);
  }

  /** Sends to all entries now; resolves once they answered or were silent. */
  async beatAll(): Promise<void> {
    const now = this.context.clock.now();
    const channels = this.directory.current(now);
    await Promise.all(channels.map(channel => this.beat(channel)));
  }

  /** Resolves when settings were confirmed by a reply, or after the time. */
  awaitConfirmation(deadlineMillis: number): Promise<void> {
    return new Promise(resolve => {
      const isFirst = this.waiters.length === 0;
      const timer = this.context.clock.schedule(deadlineMillis, resolve);
      this.waiters.push(() => {
        timer.cancel();
        resolve();
      });
      if (isFirst) void this.beatAll();
    });
  }

  /** Lets those go on who wait for a confirmation. */
  noteConfirmation(): void {
    const waiters = this.waiters;
    this.waiters = [];
    for (const resume of waiters) resume();
  }

  /**
   * Whether the settings will be stale soon. An entry that serves many agents
   * asks for periods longer than settings stay fresh; with several entries
   * their replies together come often enough, with few they may not.
   */
  private isConfirmationDue(
    now: number,
    channels: readonly EntryChannel[],
  ): boolean {
    const {settings} = this.context;
    const {settingsFreshMillis} = settings.fleet;
    const ageMillis = settings.confirmedAgeMillis(now);
    if (ageMillis < CONFIRM_AFTER_SHARE * settingsFreshMillis) return false;
    const sentAt = Math.max(...channels.map(({times}) => times.sentAt));
    return now - sentAt >= ASK_AGAIN_SHARE * settingsFreshMillis;
  }

  /** Sends now what is due soonest. */
  private beatNext(channels: readonly EntryChannel[]): void {
    let next: EntryChannel | undefined;
    for (const channel of channels) {
      if (next && next.times.dueAt <= channel.times.dueAt) continue;
      next = channel;
    }
    if (next) void this.beat(next);
  }

  /** Sends a delta if the entry knows its base, else a full heartbeat. */
  private async beat(channel: EntryChannel): Promise<void> {
    const {heartbeatMillis} = this.context.settings.fleet;
    const send = () => {
      const request = this.deltas.next(this.buildRequest(), channel.base);
      return channel.beat(request, heartbeatMillis);
    };
    const isTakenIn = await send();
    if (!isTakenIn) await send();
  }
}
