import {Events} from '../observability/events.js';
import type {Logger} from '../observability/logger.js';
import type {
  HeartbeatReply,
  HeartbeatRequest,
} from '../protocol/generated/burdockmoor.js';
import type {EntryLink, LinkFactory} from '../protocol/links.js';
import {messageOf} from '../utilities/base_error.js';
import type {Clock} from '../utilities/clock.js';
import type {Random} from '../utilities/random.js';
import {withReplyDeadline} from './reply_deadline.js';

/** Heartbeats without a reply after which the connection is replaced. */
const SILENT_HEARTBEATS = 2;

/** Share by which periods vary, so that agents don't fall into step. */
const PERIOD_JITTER = 0.2;

export interface EntryChannelOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly links: LinkFactory;
  /** Called with the agent's time at which the heartbeat was sent. */
  readonly onReply: (
    channel: EntryChannel,
    reply: HeartbeatReply,
    sentAt: number,
  ) => void;
}

/** The connection to one entry, with the heartbeats sent over it. */
export class EntryChannel {
  /** Id of the entry that last answered; undefined before. */
  entryId: string | undefined;
  private lastReplyAt = -Infinity;
  private dueAt = -Infinity;
  private unanswered = 0;
  private reportedSilent = false;
  private currentLink: EntryLink;

  constructor(
    readonly address: string,
    private readonly options: EntryChannelOptions,
  ) {
    this.currentLink = options.links.openEntry(address);
  }

  get link(): EntryLink {
    return this.currentLink;
  }

  isHeard(now: number, withinMillis: number): boolean {
    return now - this.lastReplyAt <= withinMillis;
  }

  isDue(now: number): boolean {
    return now >= this.dueAt;
  }

  /** Sends a heartbeat and sets when the next one is due. */
  async beat(request: HeartbeatRequest, periodMillis: number): Promise<void> {
    const {clock, random} = this.options;
    const sentAt = request.agentTime;
    const link = this.currentLink;
    this.dueAt = clock.now() + random.jitter(periodMillis, PERIOD_JITTER);
    try {
      const answer = link.heartbeat(request);
      const what = `heartbeat to ${this.address}`;
      const deadline = Math.max(periodMillis, 1);
      const reply = await withReplyDeadline(clock, answer, deadline, what);
      this.noteReply(reply, sentAt);
    } catch (error) {
      this.noteSilence(link, messageOf(error));
    }
  }

  close(reason: string): void {
    this.currentLink.close(reason);
  }

  private noteReply(reply: HeartbeatReply, sentAt: number): void {
    const {clock, logger} = this.options;
    this.unanswered = 0;
    this.lastReplyAt = clock.now();
    this.entryId = reply.entryId;
    if (reply.nextHeartbeatMillis > 0) {
      const {random} = this.options;
      const next = random.jitter(reply.nextHeartbeatMillis, PERIOD_JITTER);
      this.dueAt = sentAt + next;
    }
    if (this.reportedSilent) {
      this.reportedSilent = false;
      logger.event(Events.ENTRY_CONNECTION_BACK, {address: this.address});
    }
    this.options.onReply(this, reply, sentAt);
  }

  private noteSilence(link: EntryLink, reason: string): void {
    if (link !== this.currentLink) return;
    this.unanswered += 1;
    if (this.unanswered < SILENT_HEARTBEATS) return;
    this.unanswered = 0;
    if (!this.reportedSilent) {
      this.reportedSilent = true;
      const {address} = this;
      this.options.logger.event(Events.ENTRY_CONNECTION_SILENT, {
        address,
        reason,
      });
    }
    link.close('two heartbeats brought no reply');
    this.currentLink = this.options.links.openEntry(this.address);
  }
}
