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
import {EntryAcknowledgement} from './entry_acknowledgement.js';
import type {HeartbeatBase} from './heartbeat_deltas.js';
import {withReplyDeadline} from './reply_deadline.js';

/** Heartbeats without a reply after which the connection is replaced. */
const SILENT_HEARTBEATS = 2;

/** Timeouts in a row that double the wait for a reply. */
const MAXIMUM_DOUBLINGS = 2;

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
  private readonly acknowledged = new EntryAcknowledgement();
  private lastReplyAt = -Infinity;
  private lastSentAt = -Infinity;
  private dueAt = -Infinity;
  private unanswered = 0;
  private timeouts = 0;
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

  /** What a heartbeat over this channel may refer to. */
  get base(): HeartbeatBase | undefined {
    return this.acknowledged.base;
  }

  /** When the last heartbeat was sent, and when the next one is due. */
  get times(): {readonly sentAt: number; readonly dueAt: number} {
    return {sentAt: this.lastSentAt, dueAt: this.dueAt};
  }

  isHeard(now: number, withinMillis: number): boolean {
    return now - this.lastReplyAt <= withinMillis;
  }

  isDue(now: number): boolean {
    return now >= this.dueAt;
  }

  /**
   * Sends a heartbeat and sets when the next one is due. Resolves to whether
   * the entry took it in or was silent; false when it asks for a full one.
   */
  async beat(
    request: HeartbeatRequest,
    periodMillis: number,
  ): Promise<boolean> {
    const {clock, random} = this.options;
    const link = this.currentLink;
    const sentAt = clock.now();
    this.lastSentAt = sentAt;
    this.acknowledged.noteSent(request);
    // An entry that is late would only get later by being asked again as soon.
    const doublings = Math.min(this.timeouts, MAXIMUM_DOUBLINGS);
    const wait = Math.max(periodMillis, 1) * 2 ** doublings;
    this.dueAt = sentAt + random.jitter(wait, PERIOD_JITTER);
    try {
      const answer = link.heartbeat(request, wait);
      const what = `heartbeat to ${this.address}`;
      const reply = await withReplyDeadline(clock, answer, wait, what);
      return this.noteReply(request, reply);
    } catch (error) {
      if (clock.now() - sentAt >= wait) this.timeouts++;
      this.noteSilence(link, messageOf(error));
      return true;
    }
  }

  close(reason: string): void {
    this.currentLink.close(reason);
  }

  private noteReply(request: HeartbeatRequest, reply: HeartbeatReply): boolean {
    this.noteHeard();
    if (reply.resync) {
      this.acknowledged.forget(request);
      return false;
    }
    const sentAt = request.agentTime;
    const whole = this.acknowledged.complete(request, reply);
    if (whole.entryId !== '') this.entryId = whole.entryId;
    if (reply.nextHeartbeatMillis > 0) {
      const {random} = this.options;
      const next = random.jitter(reply.nextHeartbeatMillis, PERIOD_JITTER);
      this.dueAt = sentAt + next;
    }
    this.options.onReply(this, whole, sentAt);
    return true;
  }

  private noteHeard(): void {
    const {clock, logger} = this.options;
    this.unanswered = 0;
    this.timeouts = 0;
    this.lastReplyAt = clock.now();
    if (!this.reportedSilent) return;
    this.reportedSilent = false;
    logger.event(Events.ENTRY_CONNECTION_BACK, {address: this.address});
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
