import type {ClientDuplexStream, ServiceError} from '@grpc/grpc-js';
import {messageOf} from '../utilities/base_error.js';
import type {Clock} from '../utilities/clock.js';
import type {
  CallBatch,
  CallReply,
  ReplyBatch,
} from './generated/burdockmoor.js';
import type {OpenCall} from './open_call.js';

export type ClientBatchStream = ClientDuplexStream<CallBatch, ReplyBatch>;

/** What a session tells its owner. */
export interface StreamSessionObserver {
  /** The session can take a batch. */
  onWritable(session: StreamSession): void;
  /** The peer is about to close, and wants no further calls. */
  onClosing(session: StreamSession, reason: string): void;
  /** The stream is gone; its calls have failed. */
  onEnd(session: StreamSession, reason: string): void;
}

/** One gRPC stream with the calls that were sent through it. */
export class StreamSession {
  private readonly sent = new Map<number, OpenCall>();
  private opened = false;
  private writing = false;
  private retired = false;
  private ended = false;
  private answered = false;
  private endReason = 'the peer ended the stream';
  private lastHeardAt: number;
  private highestNumber = 0;

  constructor(
    private readonly stream: ClientBatchStream,
    private readonly clock: Clock,
    private readonly observer: StreamSessionObserver,
  ) {
    this.lastHeardAt = clock.now();
    stream.on('metadata', () => this.noteOpened());
    stream.on('data', (batch: ReplyBatch) => this.noteBatch(batch));
    stream.on('error', (error: ServiceError) => {
      this.endReason = error.details || messageOf(error);
    });
    // Comes after the replies that had arrived before an error.
    stream.on('end', () => this.finish());
  }

  /** Whether a batch can be sent now. */
  get isWritable(): boolean {
    return this.opened && !this.writing && !this.retired && !this.ended;
  }

  /** Whether any reply has come. */
  get hasAnswered(): boolean {
    return this.answered;
  }

  /** When the peer was last heard, or the opening began. */
  get heardAt(): number {
    return this.lastHeardAt;
  }

  /** From here on the calls may reach the peer. */
  send(calls: readonly OpenCall[]): void {
    for (const call of calls) {
      call.session = this;
      this.sent.set(call.number, call);
      this.highestNumber = Math.max(this.highestNumber, call.number);
    }
    this.writing = true;
    this.stream.write({calls: calls.map(call => call.message)}, () => {
      this.writing = false;
      if (!this.ended) this.observer.onWritable(this);
    });
  }

  /** Waits no longer for the reply; one that still comes is dropped. */
  forget(call: OpenCall): void {
    this.sent.delete(call.number);
    this.cancelWhenUnused();
  }

  /** Takes no further calls, and ends once those sent have their outcome. */
  retire(): void {
    this.retired = true;
    this.cancelWhenUnused();
  }

  private noteOpened(): void {
    this.opened = true;
    this.lastHeardAt = this.clock.now();
    this.observer.onWritable(this);
  }

  private noteBatch(batch: ReplyBatch): void {
    this.lastHeardAt = this.clock.now();
    for (const reply of batch.replies) this.deliver(reply);
    if (batch.closingReason === '') return;
    this.observer.onClosing(this, batch.closingReason);
  }

  private deliver({number, reply, fault}: CallReply): void {
    if (number > this.highestNumber) {
      return this.abandon(`the peer answered call ${number}, never made`);
    }
    const call = this.sent.get(number);
    if (!call) return;
    this.answered = true;
    this.sent.delete(number);
    if (reply) call.succeed(reply);
    else call.fail(fault?.reason ?? 'the reply is empty');
    this.cancelWhenUnused();
  }

  /** Trusts the stream no longer: its calls fail, their outcome unknown. */
  private abandon(reason: string): void {
    this.endReason = reason;
    this.stream.cancel();
    this.finish();
  }

  private cancelWhenUnused(): void {
    if (this.retired && !this.ended && this.sent.size === 0) {
      this.stream.cancel();
    }
  }

  private finish(): void {
    if (this.ended) return;
    this.ended = true;
    const unanswered = [...this.sent.values()];
    this.sent.clear();
    for (const call of unanswered) call.fail(this.endReason);
    this.stream.destroy();
    this.observer.onEnd(this, this.endReason);
  }
}
