import type {HeartbeatRequest} from '../protocol/generated/burdockmoor.js';
import type {AgentContext} from './agent_context.js';
import type {EntryChannel} from './entry_channel.js';
import type {EntryDirectory} from './entry_directory.js';
import {HeartbeatDeltas} from './heartbeat_deltas.js';

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
    for (const channel of this.directory.current(now)) {
      if (channel.isDue(now)) void this.beat(channel);
    }
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
