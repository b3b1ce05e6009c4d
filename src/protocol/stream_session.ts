import type {ClientDuplexStream, ServiceError} from '@grpc/grpc-js';
import {messageOf} from '../utilities/base_error.js';
import type {Clock} from '../utilities/clock.js';
import type {
  CallBatch,
  CallReply,
  ReplyBatch,
} from './generated/burdockmoor.js';
import type {PendingCall} from './pending_call.js';

export type ClientBatchStream = ClientDuplexStream<CallBatch, ReplyBatch>;

/** Receives the events of a session. */
export interface StreamSessionObserver {
  /** Called when the session can send a batch. */
  onWritable(session: StreamSession): void;
  /** Called when the peer is about to close and accepts no further calls. */
  onClosing(session: StreamSession, reason: string): void;
  /** Called when the stream has ended and its unanswered calls have failed. */
  onEnd(session: StreamSession, reason: string): void;
}

/** One gRPC stream with the calls sent through it. */
export class StreamSession {
  private readonly sentCalls = new Map<number, PendingCall>();
  private isOpened = false;
  private isWriting = false;
  private isRetired = false;
  private hasEnded = false;
  private hasReply = false;
  private endReason = 'the peer ended the stream';
  private lastReceivedAt: number;
  private highestNumber = 0;

  constructor(
    private readonly stream: ClientBatchStream,
    private readonly clock: Clock,
    private readonly observer: StreamSessionObserver,
  ) {
    this.lastReceivedAt = clock.now();
    stream.on('metadata', () => this.handleOpened());
    stream.on('data', (batch: ReplyBatch) => this.handleBatch(batch));
    stream.on('error', (error: ServiceError) => {
      this.endReason = error.details || messageOf(error);
    });
    // Emitted after the replies that arrived before an error.
    stream.on('end', () => this.finish());
  }

  /** True if a batch can be sent now. */
  get isWritable(): boolean {
    return (
      this.isOpened && !this.isWriting && !this.isRetired && !this.hasEnded
    );
  }

  /** True if any call sent here has received a reply. */
  get hasAnswered(): boolean {
    return this.hasReply;
  }

  /** Time of the last message from the peer, or of the start of the session. */
  get lastMessageAt(): number {
    return this.lastReceivedAt;
  }

  /** Sends calls, which may reach the peer from now on. */
  send(calls: readonly PendingCall[]): void {
    for (const call of calls) {
      call.session = this;
      this.sentCalls.set(call.number, call);
      this.highestNumber = Math.max(this.highestNumber, call.number);
    }
    this.isWriting = true;
    this.stream.write({calls: calls.map(call => call.message)}, () => {
      this.isWriting = false;
      if (!this.hasEnded) this.observer.onWritable(this);
    });
  }

  /**
   * Stops waiting for the reply to the call; a late reply is dropped. Returns
   * false if the call already has an outcome.
   */
  forget(call: PendingCall): boolean {
    const wasUnanswered = this.sentCalls.delete(call.number);
    if (wasUnanswered) this.cancelWhenUnused();
    return wasUnanswered;
  }

  /** Sends no further calls and ends once those sent have an outcome. */
  retire(): void {
    this.isRetired = true;
    this.cancelWhenUnused();
  }

  private handleOpened(): void {
    this.isOpened = true;
    this.lastReceivedAt = this.clock.now();
    this.observer.onWritable(this);
  }

  private handleBatch(batch: ReplyBatch): void {
    this.lastReceivedAt = this.clock.now();
    for (const reply of batch.replies) this.deliver(reply);
    if (batch.closingReason === '') return;
    this.observer.onClosing(this, batch.closingReason);
  }

  private deliver({number, reply, fault}: CallReply): void {
    if (number > this.highestNumber) {
      return this.cancelAndFail(
        `the peer answered call ${number}, which was never sent`,
      );
    }
    const call = this.sentCalls.get(number);
    if (!call) return;
    this.hasReply = true;
    this.sentCalls.delete(number);
    if (reply) call.succeed(reply);
    else call.fail(fault?.reason ?? 'the reply is empty');
    this.cancelWhenUnused();
  }

  /** Cancels an unreliable stream; its calls fail with an unknown outcome. */
  private cancelAndFail(reason: string): void {
    this.endReason = reason;
    this.stream.cancel();
    this.finish();
  }

  private cancelWhenUnused(): void {
    if (this.isRetired && !this.hasEnded && this.sentCalls.size === 0) {
      this.stream.cancel();
    }
  }

  private finish(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    const unanswered = [...this.sentCalls.values()];
    this.sentCalls.clear();
    for (const call of unanswered) call.fail(this.endReason);
    this.stream.destroy();
    this.observer.onEnd(this, this.endReason);
  }
}
