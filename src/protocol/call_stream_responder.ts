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
import type {ServedCall} from './served_call.js';

const MAXIMUM_CALLS_IN_PROGRESS = 256;
const MAXIMUM_WAITING_BYTES = MAXIMUM_MESSAGE_BYTES;

export type ServerBatchStream = ServerDuplexStream<CallBatch, ReplyBatch>;

/** A reply that waits for the stream. */
interface WaitingReply extends SizedItem {
  readonly message: CallReply;
}

export interface CallStreamResponderOptions {
  readonly stream: ServerBatchStream;
  /** By the method's number. */
  readonly calls: ReadonlyMap<number, ServedCall>;
  readonly onFault: (message: string) => void;
  readonly onEnd: () => void;
}

/**
 * Answers the calls of one stream, each as soon as its handler is done. It
 * stops reading while too many calls are in progress or a slow peer leaves
 * too many replies waiting.
 */
export class CallStreamResponder {
  private readonly waiting = new BatchQueue<WaitingReply>();
  private inProgress = 0;
  private writing = false;
  private flushScheduled = false;
  private halfClosed = false;
  private ended = false;
  private closingReason = '';

  constructor(private readonly options: CallStreamResponderOptions) {
    const {stream} = options;
    stream.on('data', (batch: CallBatch) => this.begin(batch));
    stream.on('end', () => this.noteHalfClose());
    stream.on('cancelled', () => this.finish());
    stream.on('error', () => this.finish());
    stream.sendMetadata(new Metadata());
  }

  /** Asks the peer to send no more, and answers what it sent. */
  close(reason: string): void {
    this.closingReason = reason;
    this.flush();
  }

  private begin(batch: CallBatch): void {
    for (const call of batch.calls) void this.answer(call);
    this.regulate();
  }

  private async answer(call: Call): Promise<void> {
    this.inProgress += 1;
    const message = await this.replyTo(call);
    this.inProgress -= 1;
    if (this.ended) return;
    const bytes = message.reply?.length ?? 0;
    this.waiting.add({message, bytes});
    this.scheduleFlush();
  }

  private async replyTo({number, method, request}: Call): Promise<CallReply> {
    const served = this.options.calls.get(method);
    if (!served) {
      return faultReply(number, ResultCodes.BAD_REQUEST, 'no such method');
    }
    try {
      const reply = await served.answer(request);
      if (reply.length <= MAXIMUM_CALL_BYTES) {
        return {number, reply, fault: undefined};
      }
      throw new Error(`The reply is over ${MAXIMUM_CALL_BYTES} bytes.`);
    } catch (error) {
      const reason = messageOf(error);
      if (error instanceof InvalidMessageError) {
        return faultReply(number, ResultCodes.BAD_REQUEST, reason);
      }
      this.options.onFault(reason);
      return faultReply(number, ResultCodes.INTERNAL, reason);
    }
  }

  /** Replies of one turn of the loop go out together. */
  private scheduleFlush(): void {
    if (this.flushScheduled) return;
    this.flushScheduled = true;
    setImmediate(() => {
      this.flushScheduled = false;
      this.flush();
    });
  }

  private flush(): void {
    if (this.writing || this.ended) return;
    const replies = this.waiting.takeBatch().map(({message}) => message);
    const {closingReason} = this;
    this.closingReason = '';
    if (replies.length > 0 || closingReason !== '') {
      this.write({replies, closingReason});
    }
    this.regulate();
    this.endWhenAnswered();
  }

  private write(batch: ReplyBatch): void {
    this.writing = true;
    this.options.stream.write(batch, () => {
      this.writing = false;
      this.flush();
    });
  }

  private regulate(): void {
    const {stream} = this.options;
    const isFull =
      this.inProgress + this.waiting.size >= MAXIMUM_CALLS_IN_PROGRESS ||
      this.waiting.bytes >= MAXIMUM_WAITING_BYTES;
    if (isFull && !stream.isPaused()) stream.pause();
    if (!isFull && stream.isPaused()) stream.resume();
  }

  private noteHalfClose(): void {
    this.halfClosed = true;
    this.endWhenAnswered();
  }

  private endWhenAnswered(): void {
    const isBusy = this.inProgress > 0 || this.waiting.size > 0 || this.writing;
    if (!this.halfClosed || isBusy || this.ended) return;
    this.options.stream.end();
    this.finish();
  }

  private finish(): void {
    if (this.ended) return;
    this.ended = true;
    this.waiting.takeAll();
    this.options.onEnd();
  }
}

function faultReply(
  number: number,
  code: ResultCode,
  reason: string,
): CallReply {
  return {number, reply: undefined, fault: {resultCode: code.number, reason}};
}
