import {ResultCodes} from '../observability/result_codes.js';
import type {ResultCode} from '../observability/result_codes.js';
import {messageOf} from '../utilities/base_error.js';
import type {Clock} from '../utilities/clock.js';
import type {Random} from '../utilities/random.js';
import {BatchQueue} from './batch_queue.js';
import type {CallMethod} from './call_methods.js';
import {LinkError} from './link_error.js';
import {MAXIMUM_CALL_BYTES, MAXIMUM_MESSAGE_BYTES} from './message_limits.js';
import {PendingCall} from './pending_call.js';
import {ReconnectBackoff} from './reconnect_backoff.js';
import {StreamSession} from './stream_session.js';
import type {ClientBatchStream} from './stream_session.js';

const MAXIMUM_WAITING_CALLS = 1_000;
const MAXIMUM_WAITING_BYTES = MAXIMUM_MESSAGE_BYTES;

/** Opens streams to one address. */
export interface StreamSource {
  readonly address: string;
  openStream(): ClientBatchStream;
  /** Makes the next stream use a new connection. */
  replaceConnection(): void;
}

export interface CallStreamOptions {
  readonly source: StreamSource;
  readonly clock: Clock;
  readonly random: Random;
}

interface Refusal {
  readonly reason: string;
  readonly resultCode: ResultCode;
}

/**
 * Sends the calls of one link through one stream at a time. The first call
 * opens the stream, and the first call after the stream was lost reopens it.
 * Calls wait until the peer has opened its end, so a waiting call is guaranteed
 * not to have been sent.
 */
export class CallStream {
  private readonly waitingCalls = new BatchQueue<PendingCall>();
  private readonly backoff: ReconnectBackoff;
  private session: StreamSession | undefined;
  private lastFailureReason = '';
  private lastCallNumber = 0;
  private isFlushScheduled = false;
  private closedReason: string | undefined;

  constructor(private readonly options: CallStreamOptions) {
    this.backoff = new ReconnectBackoff(options.clock, options.random);
  }

  /** Rejects with a LinkError if no reply arrives before the deadline. */
  call<Request, Reply>(
    method: CallMethod<Request, Reply>,
    request: Request,
    deadlineMillis: number,
  ): Promise<Reply> {
    const {clock, source} = this.options;
    return new Promise((resolve, reject) => {
      this.openSession();
      const title = `Call ${method.name} to ${source.address}`;
      const call = new PendingCall({
        title,
        message: {
          number: ++this.lastCallNumber,
          method: method.number,
          request: encode(title, () => method.codec.requestSerialize(request)),
        },
        startedAt: clock.now(),
        onReply: reply => resolve(method.codec.responseDeserialize(reply)),
        onError: reject,
      });
      this.enqueue(call, deadlineMillis);
    });
  }

  /** Fails waiting calls; calls already sent keep their deadlines. */
  close(reason: string): void {
    this.closedReason = reason;
    this.failWaiting(`the link was closed: ${reason}`);
    this.session?.retire();
    this.session = undefined;
  }

  private enqueue(call: PendingCall, deadlineMillis: number): void {
    const refusal = this.findRefusal(call);
    if (refusal) return call.fail(refusal.reason, refusal.resultCode);
    const {clock} = this.options;
    call.deadline = clock.schedule(deadlineMillis, () =>
      this.handleDeadline(call),
    );
    this.waitingCalls.add(call);
    this.scheduleFlush();
  }

  private findRefusal(call: PendingCall): Refusal | undefined {
    if (this.closedReason !== undefined) {
      const reason = `the link was closed: ${this.closedReason}`;
      return {reason, resultCode: ResultCodes.PROCESS_UNREACHABLE};
    }
    if (call.bytes > MAXIMUM_CALL_BYTES) {
      const reason = `the request exceeds ${MAXIMUM_CALL_BYTES} bytes`;
      return {reason, resultCode: ResultCodes.BODY_TOO_LARGE};
    }
    if (!this.session) {
      const resultCode = ResultCodes.PROCESS_UNREACHABLE;
      return {reason: this.lastFailureReason, resultCode};
    }
    const {size, bytes} = this.waitingCalls;
    const isFull =
      size >= MAXIMUM_WAITING_CALLS ||
      (size > 0 && bytes + call.bytes > MAXIMUM_WAITING_BYTES);
    if (!isFull) return undefined;
    const reason = `${size} calls are already waiting to be sent`;
    return {reason, resultCode: ResultCodes.PROCESS_TOO_SLOW};
  }

  /** Opens a stream if there is none and the reconnect backoff has ended. */
  private openSession(): void {
    if (this.session || this.closedReason !== undefined) return;
    if (this.backoff.isWaiting) return;
    const {clock, source} = this.options;
    this.session = new StreamSession(source.openStream(), clock, {
      onWritable: session => this.flush(session),
      onClosing: session => this.replaceSession(session),
      onEnd: (session, reason) => this.handleSessionEnd(session, reason),
    });
  }

  /** Sends all calls of one event loop iteration together. */
  private scheduleFlush(): void {
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    setImmediate(() => {
      this.isFlushScheduled = false;
      if (this.session) this.flush(this.session);
    });
  }

  private flush(session: StreamSession): void {
    if (session !== this.session || !session.isWritable) return;
    if (this.waitingCalls.size === 0) return;
    session.send(this.waitingCalls.takeBatch());
  }

  /**
   * Reads the socket once more before a sent call expires: after a pause of the
   * process, timers run before the replies that arrived meanwhile are read.
   */
  private handleDeadline(call: PendingCall): void {
    if (this.waitingCalls.remove(call)) return this.expire(call);
    setImmediate(() => {
      if (call.session?.forget(call)) this.expire(call);
    });
  }

  private expire(call: PendingCall): void {
    call.fail('no reply before the deadline');
    const {session} = this;
    if (!session || session.lastMessageAt > call.startedAt) return;
    this.options.source.replaceConnection();
    this.replaceSession(session);
  }

  /** Retires the session; waiting calls are sent through a new one. */
  private replaceSession(session: StreamSession): void {
    session.retire();
    if (session !== this.session) return;
    this.session = undefined;
    this.reopenForWaiting();
  }

  private handleSessionEnd(session: StreamSession, reason: string): void {
    if (session !== this.session) return;
    this.session = undefined;
    this.lastFailureReason = reason;
    if (session.hasAnswered) this.backoff.recordSuccess();
    else this.backoff.recordFailure();
    this.reopenForWaiting();
  }

  private reopenForWaiting(): void {
    if (this.waitingCalls.size === 0) return;
    this.openSession();
    if (!this.session) this.failWaiting(this.lastFailureReason);
  }

  private failWaiting(reason: string): void {
    for (const call of this.waitingCalls.takeAll()) call.fail(reason);
  }
}

function encode(title: string, serialize: () => Buffer): Buffer {
  try {
    return serialize();
  } catch (error) {
    throw new LinkError(`${title} failed: ${messageOf(error)}.`, {
      props: {notSent: true},
    });
  }
}
