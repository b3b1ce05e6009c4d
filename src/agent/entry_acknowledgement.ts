import {NO_VIEW} from '../protocol/entry_view.js';
import type {
  HeartbeatReply,
  HeartbeatRequest,
} from '../protocol/generated/burdockmoor.js';
import {isFull} from '../protocol/heartbeat_delta.js';
import type {HeartbeatBase} from './heartbeat_deltas.js';

/** Deltas in a row before a full heartbeat is sent, whatever went wrong. */
const MAXIMUM_DELTAS = 64;

/**
 * What one entry is known to have taken in, and the view that it last gave. Of
 * replies that come in another order the newest counts.
 */
export class EntryAcknowledgement {
  private session = 0;
  private sequence = 0;
  private heldSession = 0;
  private heldVersion = 0;
  private held = NO_VIEW;
  private deltas = 0;

  /** What the next heartbeat may refer to; undefined if it has to be full. */
  get base(): HeartbeatBase | undefined {
    const {session, sequence} = this;
    if (session === 0 || this.deltas >= MAXIMUM_DELTAS) return undefined;
    const viewVersion = this.heldSession === session ? this.heldVersion : 0;
    return {session, sequence, viewVersion};
  }

  noteSent(request: HeartbeatRequest): void {
    this.deltas = isFull(request) ? 0 : this.deltas + 1;
  }

  /** The entry doesn't know what the request referred to. */
  forget(request: HeartbeatRequest): void {
    if (request.session === this.session) this.session = 0;
  }

  /** Takes in a reply, and gives it with the view that it stands for. */
  complete(request: HeartbeatRequest, reply: HeartbeatReply): HeartbeatReply {
    const session = isFull(request) ? reply.session : request.session;
    this.acknowledge(request, session);
    if (reply.entryId !== '') {
      this.hold(reply, session);
      return reply;
    }
    const isHeld =
      session === this.heldSession && reply.viewVersion === this.heldVersion;
    // A view that isn't known renews nothing.
    return {...reply, ...(isHeld ? this.held : NO_VIEW)};
  }

  private acknowledge(request: HeartbeatRequest, session: number): void {
    const known = this.session !== 0;
    if (known && request.sequence <= this.sequence) return;
    if (!isFull(request) && session !== this.session) return;
    this.session = session;
    this.sequence = request.sequence;
  }

  private hold(reply: HeartbeatReply, session: number): void {
    const {entryId, leaseMillis, leases, entries} = reply;
    this.held = {entryId, leaseMillis, leases, entries};
    this.heldSession = session;
    this.heldVersion = reply.viewVersion;
  }
}
