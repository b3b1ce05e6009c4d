import {ResultCodes} from '../observability/result_codes.js';
import type {ResultCode} from '../observability/result_codes.js';
import {messageOf} from '../utilities/base_error.js';
import type {Clock} from '../utilities/clock.js';
import type {Random} from '../utilities/random.js';
import {BatchQueue} from './batch_queue.js';
import type {CallMethod} from './call_methods.js';
import {LinkError} from './link_error.js';
import {MAXIMUM_CALL_BYTES, MAXIMUM_MESSAGE_BYTES} from './message_limits.js';
import {OpenCall} from './open_call.js';
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
 * Calls of one link, carried by one stream at a time. The stream is opened by
 * the first call, and again by the first one after it was lost. Calls wait
 * until the peer has opened its end, so a call that waits was surely not sent.
 */
export class CallStream {
  private readonly waiting = new BatchQueue<OpenCall>();
  private readonly backoff: ReconnectBackoff;
  private session: StreamSession | undefined;
  private lastFailure = '';
  private lastNumber = 0;
  private flushScheduled = false;
  private closedReason: string | undefined;

  constructor(private readonly options: CallStreamOptions) {
    this.backoff = new ReconnectBackoff(options.clock, options.random);
  }

  /** Rejects with a LinkError when no reply came by the deadline. */
  call<Request, Reply>(
    method: CallMethod<Request, Reply>,
    request: Request,
    deadlineMillis: number,
  ): Promise<Reply> {
    const {clock, source} = this.options;
    return new Promise((resolve, reject) => {
      this.openSession();
      const title = `Call ${method.name} to ${source.address}`;
      const call = new OpenCall({
        title,
        message: {
          number: ++this.lastNumber,
          method: method.number,
          request: encode(title, () => method.codec.requestSerialize(request)),
        },
        begunAt: clock.now(),
        onReply: reply => resolve(method.codec.responseDeserialize(reply)),
        onError: reject,
      });
      this.enqueue(call, deadlineMillis);
    });
  }

  /** Fails the calls that wait; those sent keep their deadlines. */
  close(reason: string): void {
    this.closedReason = reason;
    this.failWaiting(`the link was closed: ${reason}`);
    this.session?.retire();
    this.session = undefined;
  }

  private enqueue(call: OpenCall, deadlineMillis: number): void {
    const refusal = this.refusalOf(call);
    if (refusal) return call.fail(refusal.reason, refusal.resultCode);
    const {clock} = this.options;
    call.deadline = clock.schedule(deadlineMillis, () => this.expire(call));
    this.waiting.add(call);
    this.scheduleFlush();
  }

  private refusalOf(call: OpenCall): Refusal | undefined {
    if (this.closedReason !== undefined) {
      const reason = `the link was closed: ${this.closedReason}`;
      return {reason, resultCode: ResultCodes.PROCESS_UNREACHABLE};
    }
    if (call.bytes > MAXIMUM_CALL_BYTES) {
      const reason = `the request is over ${MAXIMUM_CALL_BYTES} bytes`;
      return {reason, resultCode: ResultCodes.BODY_TOO_LARGE};
    }
    if (!this.session) {
      const resultCode = ResultCodes.PROCESS_UNREACHABLE;
      return {reason: this.lastFailure, resultCode};
    }
    const {size, bytes} = this.waiting;
    const isFull =
      size >= MAXIMUM_WAITING_CALLS ||
      (size > 0 && bytes + call.bytes > MAXIMUM_WAITING_BYTES);
    if (!isFull) return undefined;
    const reason = `${size} calls wait to be sent already`;
    return {reason, resultCode: ResultCodes.PROCESS_TOO_SLOW};
  }

  /** Opens a stream unless there is one or the last failure is too recent. */
  private openSession(): void {
    if (this.session || this.closedReason !== undefined) return;
    if (this.backoff.isWaiting) return;
    const {clock, source} = this.options;
    this.session = new StreamSession(source.openStream(), clock, {
      onWritable: session => this.flush(session),
      onClosing: session => this.leave(session),
      onEnd: (session, reason) => this.noteEnd(session, reason),
    });
  }

  /** Calls of one turn of the loop go out together. */
  private scheduleFlush(): void {
    if (this.flushScheduled) return;
    this.flushScheduled = true;
    setImmediate(() => {
      this.flushScheduled = false;
      if (this.session) this.flush(this.session);
    });
  }

  private flush(session: StreamSession): void {
    if (session !== this.session || !session.isWritable) return;
    if (this.waiting.size === 0) return;
    session.send(this.waiting.takeBatch());
  }

  private expire(call: OpenCall): void {
    this.waiting.remove(call);
    call.session?.forget(call);
    call.fail('no reply by the deadline');
    const {session} = this;
    if (!session || session.heardAt > call.begunAt) return;
    this.options.source.replaceConnection();
    this.leave(session);
  }

  /** Lets the session end by itself; calls that wait go to a new one. */
  private leave(session: StreamSession): void {
    session.retire();
    if (session !== this.session) return;
    this.session = undefined;
    this.reopenForWaiting();
  }

  private noteEnd(session: StreamSession, reason: string): void {
    if (session !== this.session) return;
    this.session = undefined;
    this.lastFailure = reason;
    if (session.hasAnswered) this.backoff.noteSuccess();
    else this.backoff.noteFailure();
    this.reopenForWaiting();
  }

  private reopenForWaiting(): void {
    if (this.waiting.size === 0) return;
    this.openSession();
    if (!this.session) this.failWaiting(this.lastFailure);
  }

  private failWaiting(reason: string): void {
    for (const call of this.waiting.takeAll()) call.fail(reason);
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
