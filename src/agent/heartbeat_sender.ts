import type {HeartbeatRequest} from '../protocol/generated/burdockmoor.js';
import type {AgentContext} from './agent_context.js';
import type {EntryDirectory} from './entry_directory.js';

/** Sends heartbeats to every entry that the agent knows. */
export class HeartbeatSender {
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

  private beat(channel: {
    beat(request: HeartbeatRequest, periodMillis: number): Promise<void>;
  }): Promise<void> {
    const period = this.context.settings.fleet.heartbeatMillis;
    return channel.beat(this.buildRequest(), period);
  }
}
