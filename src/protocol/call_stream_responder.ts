import {Metadata} from '@grpc/grpc-js';
import type {ServerDuplexStream} from '@grpc/grpc-js';
import {ResultCodes} from '../observability/result_codes.js';
import type {ResultCode} from '../observability/result_codes.js';
import {messageOf} from '../utilities/base_error.js';
import {BatchQueue} from './batch_queue.js';
import type {SizedItem} from './batch_queue.js';
import type {
  Call,
  CallBatch,
  CallReply,
  ReplyBatch,
} from './generated/burdockmoor.js';
import {InvalidMessageError} from './invalid_message_error.js';
import {MAXIMUM_CALL_BYTES, MAXIMUM_MESSAGE_BYTES} from './message_limits.js';
import type {CallHandler} from './call_handler.js';

const MAXIMUM_CALLS_IN_PROGRESS = 256;
const MAXIMUM_WAITING_BYTES = MAXIMUM_MESSAGE_BYTES;

export type ServerBatchStream = ServerDuplexStream<CallBatch, ReplyBatch>;

/** A reply that waits to be written to the stream. */
interface WaitingReply extends SizedItem {
  readonly message: CallReply;
}

export interface CallStreamResponderOptions {
  readonly stream: ServerBatchStream;
  /** Call handlers by method number. */
  readonly calls: ReadonlyMap<number, CallHandler>;
  readonly onHandlerError: (message: string) => void;
  readonly onEnd: () => void;
}

/**
 * Answers the calls of one stream, each as soon as its handler has finished.
 * Pauses reading while too many calls are in progress or too many replies wait
 * for a slow peer.
 */
export class CallStreamResponder {
  private readonly waitingReplies = new BatchQueue<WaitingReply>();
  private callsInProgress = 0;
  private isWriting = false;
  private isFlushScheduled = false;
  private isHalfClosed = false;
  private hasEnded = false;
  private closingReason = '';

  constructor(private readonly options: CallStreamResponderOptions) {
    const {stream} = options;
    stream.on('data', (batch: CallBatch) => this.handleBatch(batch));
    stream.on('end', () => this.handleHalfClose());
    stream.on('cancelled', () => this.finish());
    stream.on('error', () => this.finish());
    stream.sendMetadata(new Metadata());
  }

  /** Asks the peer to send no further calls; answers those already sent. */
  close(reason: string): void {
    this.closingReason = reason;
    this.flush();
  }

  private handleBatch(batch: CallBatch): void {
    for (const call of batch.calls) void this.answer(call);
    this.pauseOrResume();
  }

  private async answer(call: Call): Promise<void> {
    this.callsInProgress += 1;
    const message = await this.createReply(call);
    this.callsInProgress -= 1;
    if (this.hasEnded) return;
    const bytes = message.reply?.length ?? 0;
    this.waitingReplies.add({message, bytes});
    this.scheduleFlush();
  }

  private async createReply({
    number,
    method,
    request,
  }: Call): Promise<CallReply> {
    const handler = this.options.calls.get(method);
    if (!handler) {
      return createFaultReply(
        number,
        ResultCodes.BAD_REQUEST,
        'no such method',
      );
    }
    try {
      const reply = await handler.handle(request);
      if (reply.length <= MAXIMUM_CALL_BYTES) {
        return {number, reply, fault: undefined};
      }
      throw new Error(`The reply exceeds ${MAXIMUM_CALL_BYTES} bytes.`);
    } catch (error) {
      const reason = messageOf(error);
      if (error instanceof InvalidMessageError) {
        return createFaultReply(number, ResultCodes.BAD_REQUEST, reason);
      }
      this.options.onHandlerError(reason);
      return createFaultReply(number, ResultCodes.INTERNAL, reason);
    }
  }

  /** Sends all replies of one event loop iteration together. */
  private scheduleFlush(): void {
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    setImmediate(() => {
      this.isFlushScheduled = false;
      this.flush();
    });
  }

  private flush(): void {
    if (this.isWriting || this.hasEnded) return;
    const replies = this.waitingReplies.takeBatch().map(({message}) => message);
    const {closingReason} = this;
    this.closingReason = '';
    if (replies.length > 0 || closingReason !== '') {
      this.write({replies, closingReason});
    }
    this.pauseOrResume();
    this.endWhenAnswered();
  }

  private write(batch: ReplyBatch): void {
    this.isWriting = true;
    this.options.stream.write(batch, () => {
      this.isWriting = false;
      this.flush();
    });
  }

  private pauseOrResume(): void {
    const {stream} = this.options;
    const isFull =
      this.callsInProgress + this.waitingReplies.size >=
        MAXIMUM_CALLS_IN_PROGRESS ||
      this.waitingReplies.bytes >= MAXIMUM_WAITING_BYTES;
    if (isFull && !stream.isPaused()) stream.pause();
    if (!isFull && stream.isPaused()) stream.resume();
  }

  private handleHalfClose(): void {
    this.isHalfClosed = true;
    this.endWhenAnswered();
  }

  private endWhenAnswered(): void {
    const isBusy =
      this.callsInProgress > 0 ||
      this.waitingReplies.size > 0 ||
      this.isWriting;
    if (!this.isHalfClosed || isBusy || this.hasEnded) return;
    this.options.stream.end();
    this.finish();
  }

  private finish(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.waitingReplies.takeAll();
    this.options.onEnd();
  }
}

function createFaultReply(
  number: number,
  code: ResultCode,
  reason: string,
): CallReply {
  return {number, reply: undefined, fault: {resultCode: code.number, reason}};
}
