import {NO_VIEW} from '../protocol/entry_view.js';
import type {
  HeartbeatReply,
  HeartbeatRequest,
} from '../protocol/generated/burdockmoor.js';
import {isFullHeartbeat} from '../protocol/heartbeat_delta.js';
import type {HeartbeatBase} from './heartbeat_delta_encoder.js';

/** Maximum deltas in a row; a full heartbeat then repairs any divergence. */
const MAXIMUM_DELTAS = 64;

/**
 * The newest heartbeat that an entry is known to have applied, in whatever
 * order its replies arrive, and the last view that it sent.
 */
export class EntryAcknowledgement {
  private session = 0;
  private sequence = 0;
  private viewSession = 0;
  private viewVersion = 0;
  private view = NO_VIEW;
  private sentDeltas = 0;

  /** Base of the next delta; undefined if a full heartbeat is needed. */
  get base(): HeartbeatBase | undefined {
    const {session, sequence} = this;
    if (session === 0 || this.sentDeltas >= MAXIMUM_DELTAS) return undefined;
    const viewVersion = this.viewSession === session ? this.viewVersion : 0;
    return {session, sequence, viewVersion};
  }

  recordSent(request: HeartbeatRequest): void {
    this.sentDeltas = isFullHeartbeat(request) ? 0 : this.sentDeltas + 1;
  }

  /** Called when the entry doesn't know the base of the request. */
  handleResync(request: HeartbeatRequest): void {
    if (request.session === this.session) this.session = 0;
  }

  /** Applies a reply, and returns it with the view that it refers to. */
  applyReply(request: HeartbeatRequest, reply: HeartbeatReply): HeartbeatReply {
    const session = isFullHeartbeat(request) ? reply.session : request.session;
    this.acknowledge(request, session);
    if (reply.entryId !== '') {
      this.storeView(reply, session);
      return reply;
    }
    const isViewKnown =
      session === this.viewSession && reply.viewVersion === this.viewVersion;
    // Without the view it refers to, the reply renews no leases.
    return {...reply, ...(isViewKnown ? this.view : NO_VIEW)};
  }

  private acknowledge(request: HeartbeatRequest, session: number): void {
    const isSessionKnown = this.session !== 0;
    if (isSessionKnown && request.sequence <= this.sequence) return;
    if (!isFullHeartbeat(request) && session !== this.session) return;
    this.session = session;
    this.sequence = request.sequence;
  }

  private storeView(reply: HeartbeatReply, session: number): void {
    const {entryId, leaseMillis, leases, entries} = reply;
    this.view = {entryId, leaseMillis, leases, entries};
    this.viewSession = session;
    this.viewVersion = reply.viewVersion;
  }
}
