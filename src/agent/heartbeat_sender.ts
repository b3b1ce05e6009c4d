import type {HeartbeatRequest} from '../protocol/generated/burdockmoor.js';
import type {AgentContext} from './agent_context.js';
import type {EntryChannel} from './entry_channel.js';
import type {EntryDirectory} from './entry_directory.js';
import {HeartbeatDeltaEncoder} from './heartbeat_delta_encoder.js';

/** Age of the settings, as a share of its limit, that triggers a heartbeat. */
const CONFIRM_AFTER_SHARE = 0.75;

/**
 * Minimum time since the last heartbeat, as a share of the same limit, before
 * the age of the settings triggers one.
 */
const CONFIRM_AGAIN_SHARE = 0.5;

interface ReplyWaiter {
  readonly isMet: () => boolean;
  readonly resume: () => void;
}

/** Sends heartbeats to every entry that the agent knows. */
export class HeartbeatSender {
  private readonly deltas = new HeartbeatDeltaEncoder();
  private readonly waiters = new Set<ReplyWaiter>();

  constructor(
    private readonly context: AgentContext,
    private readonly directory: EntryDirectory,
    private readonly buildFullHeartbeat: () => HeartbeatRequest,
  ) {}

  tick(now: number): void {
    const channels = this.directory.refreshChannels(now);
    for (const channel of channels) {
      if (channel.isDue(now)) void this.sendTo(channel);
    }
    if (this.isConfirmationDue(now, channels)) this.sendEarliestDue(channels);
  }

  /** Sends to all entries now; resolves once each replied or timed out. */
  async sendToAll(): Promise<void> {
    const now = this.context.clock.now();
    const channels = this.directory.refreshChannels(now);
    await Promise.all(channels.map(channel => this.sendTo(channel)));
  }

  /**
   * Requests replies from all entries. Resolves when one makes the condition
   * true, once each entry replied, or after the deadline.
   */
  awaitReplies(isMet: () => boolean, deadlineMillis: number): Promise<void> {
    return new Promise(resolve => {
      const isFirst = this.waiters.size === 0;
      const resume = () => {
        timer.cancel();
        this.waiters.delete(waiter);
        resolve();
      };
      const waiter = {isMet, resume};
      const timer = this.context.clock.schedule(deadlineMillis, resume);
      this.waiters.add(waiter);
      if (isFirst) void this.sendToWaiters();
    });
  }

  /** Resolves the calls of `awaitReplies` whose condition is now true. */
  notifyReply(): void {
    for (const waiter of [...this.waiters]) {
      if (waiter.isMet()) waiter.resume();
    }
  }

  /** Sends again for those that began to wait after the last heartbeats. */
  private async sendToWaiters(): Promise<void> {
    while (this.waiters.size > 0) {
      const waiters = [...this.waiters];
      await this.sendToAll();
      for (const waiter of waiters) waiter.resume();
    }
  }

  /**
   * True if the settings will be stale soon. An entry with many agents asks for
   * heartbeat periods longer than settings stay fresh. Replies from several
   * entries together are frequent enough; those from a few may not be.
   */
  private isConfirmationDue(
    now: number,
    channels: readonly EntryChannel[],
  ): boolean {
    const {settings} = this.context;
    const {maximumSettingsAgeMillis} = settings.fleet;
    const ageMillis = settings.confirmedAgeMillis(now);
    if (ageMillis < CONFIRM_AFTER_SHARE * maximumSettingsAgeMillis)
      return false;
    const sentAt = Math.max(...channels.map(({times}) => times.sentAt));
    return now - sentAt >= CONFIRM_AGAIN_SHARE * maximumSettingsAgeMillis;
  }

  /** Sends the heartbeat that is due next, ahead of time. */
  private sendEarliestDue(channels: readonly EntryChannel[]): void {
    let next: EntryChannel | undefined;
    for (const channel of channels) {
      if (next && next.times.dueAt <= channel.times.dueAt) continue;
      next = channel;
    }
    if (next) void this.sendTo(next);
  }

  /** Sends a delta, or a full heartbeat if the entry lacks the base. */
  private async sendTo(channel: EntryChannel): Promise<void> {
    const {heartbeatMillis} = this.context.settings.fleet;
    const send = () => {
      const request = this.deltas.encode(
        this.buildFullHeartbeat(),
        channel.base,
      );
      return channel.sendHeartbeat(request, heartbeatMillis);
    };
    const isAccepted = await send();
    if (!isAccepted) await send();
  }
}
