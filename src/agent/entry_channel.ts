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
import type {HeartbeatBase} from './heartbeat_delta_encoder.js';
import {withReplyDeadline} from './reply_deadline.js';

/** Unanswered heartbeats in a row after which the connection is replaced. */
const MAXIMUM_UNANSWERED_HEARTBEATS = 2;

/** Maximum doublings of the reply deadline; each timeout in a row adds one. */
const MAXIMUM_DEADLINE_DOUBLINGS = 2;

/** Share by which periods vary, so that agents don't synchronize. */
const PERIOD_JITTER_SHARE = 0.2;

export interface EntryChannelOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly links: LinkFactory;
  /** Called with a reply; `sentAt` is when the heartbeat was sent. */
  readonly onReply: (
    channel: EntryChannel,
    reply: HeartbeatReply,
    sentAt: number,
  ) => void;
}

/** The connection to one entry, over which heartbeats are sent. */
export class EntryChannel {
  /** Id of the entry that last replied; undefined before the first reply. */
  entryId: string | undefined;
  private readonly acknowledgement = new EntryAcknowledgement();
  private lastReplyAt = -Infinity;
  private lastSentAt = -Infinity;
  private dueAt = -Infinity;
  private unansweredHeartbeats = 0;
  private consecutiveTimeouts = 0;
  private isSilenceLogged = false;
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

  /** Base of the next delta; undefined if a full heartbeat is needed. */
  get base(): HeartbeatBase | undefined {
    return this.acknowledgement.base;
  }

  /** When the last heartbeat was sent, and when the next one is due. */
  get times(): {readonly sentAt: number; readonly dueAt: number} {
    return {sentAt: this.lastSentAt, dueAt: this.dueAt};
  }

  hasRepliedWithin(now: number, withinMillis: number): boolean {
    return now - this.lastReplyAt <= withinMillis;
  }

  isDue(now: number): boolean {
    return now >= this.dueAt;
  }

  /**
   * Sends a heartbeat and sets when the next one is due. Resolves to false if
   * the entry asks for a full heartbeat, else to true, also without a reply.
   */
  async sendHeartbeat(
    request: HeartbeatRequest,
    periodMillis: number,
  ): Promise<boolean> {
    const {clock, random} = this.options;
    const link = this.currentLink;
    const sentAt = clock.now();
    this.lastSentAt = sentAt;
    this.acknowledgement.recordSent(request);
    // Heartbeats at the usual rate would delay an overloaded entry even more.
    const doublings = Math.min(
      this.consecutiveTimeouts,
      MAXIMUM_DEADLINE_DOUBLINGS,
    );
    const waitMillis = Math.max(periodMillis, 1) * 2 ** doublings;
    this.dueAt = sentAt + random.jitter(waitMillis, PERIOD_JITTER_SHARE);
    try {
      const response = link.heartbeat(request, waitMillis);
      const description = `heartbeat to ${this.address}`;
      const reply = await withReplyDeadline(
        clock,
        response,
        waitMillis,
        description,
      );
      return this.handleReply(request, reply);
    } catch (error) {
      if (clock.now() - sentAt >= waitMillis) this.consecutiveTimeouts++;
      this.handleMissingReply(link, messageOf(error));
      return true;
    }
  }

  close(reason: string): void {
    this.currentLink.close(reason);
  }

  private handleReply(
    request: HeartbeatRequest,
    reply: HeartbeatReply,
  ): boolean {
    this.recordReply();
    if (reply.resync) {
      this.acknowledgement.handleResync(request);
      return false;
    }
    const sentAt = request.agentTime;
    const completedReply = this.acknowledgement.applyReply(request, reply);
    if (completedReply.entryId !== '') this.entryId = completedReply.entryId;
    if (reply.nextHeartbeatMillis > 0) {
      const {random} = this.options;
      const nextMillis = random.jitter(
        reply.nextHeartbeatMillis,
        PERIOD_JITTER_SHARE,
      );
      this.dueAt = sentAt + nextMillis;
    }
    this.options.onReply(this, completedReply, sentAt);
    return true;
  }

  private recordReply(): void {
    const {clock, logger} = this.options;
    this.unansweredHeartbeats = 0;
    this.consecutiveTimeouts = 0;
    this.lastReplyAt = clock.now();
    if (!this.isSilenceLogged) return;
    this.isSilenceLogged = false;
    logger.event(Events.ENTRY_CONNECTION_BACK, {address: this.address});
  }

  private handleMissingReply(link: EntryLink, reason: string): void {
    if (link !== this.currentLink) return;
    this.unansweredHeartbeats += 1;
    if (this.unansweredHeartbeats < MAXIMUM_UNANSWERED_HEARTBEATS) return;
    this.unansweredHeartbeats = 0;
    if (!this.isSilenceLogged) {
      this.isSilenceLogged = true;
      const {address} = this;
      this.options.logger.event(Events.ENTRY_CONNECTION_SILENT, {
        address,
        reason,
      });
    }
    link.close('two heartbeats got no reply');
    this.currentLink = this.options.links.openEntry(this.address);
  }
}
