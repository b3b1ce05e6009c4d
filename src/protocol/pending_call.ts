import {ResultCodes} from '../observability/result_codes.js';
import type {ResultCode} from '../observability/result_codes.js';
import type {Timer} from '../utilities/clock.js';
import type {SizedItem} from './batch_queue.js';
import type {Call} from './generated/burdockmoor.js';
import {LinkError} from './link_error.js';
import type {StreamSession} from './stream_session.js';

export interface PendingCallOptions {
  /** Method and address, for error messages. */
  readonly title: string;
  readonly message: Call;
  readonly startedAt: number;
  /** Throws if the reply can't be decoded. */
  readonly onReply: (reply: Buffer) => void;
  readonly onError: (error: Error) => void;
}

/** A call without an outcome yet. */
export class PendingCall implements SizedItem {
  /** Session that sent the call; undefined while the call waits. */
  session: StreamSession | undefined;
  deadline: Timer | undefined;

  constructor(private readonly options: PendingCallOptions) {}

  get number(): number {
    return this.options.message.number;
  }

  get message(): Call {
    return this.options.message;
  }

  get bytes(): number {
    return this.options.message.request.length;
  }

  get startedAt(): number {
    return this.options.startedAt;
  }

  succeed(reply: Buffer): void {
    this.deadline?.cancel();
    try {
      this.options.onReply(reply);
    } catch {
      this.fail('the reply could not be decoded');
    }
  }

  /** Fails the call; without a session, it was never sent. */
  fail(
    reason: string,
    resultCode: ResultCode = ResultCodes.PROCESS_UNREACHABLE,
  ): void {
    this.deadline?.cancel();
    const notSent = this.session === undefined;
    const error = new LinkError(`${this.options.title} failed: ${reason}.`, {
      props: {notSent, resultCode},
    });
    this.options.onError(error);
  }
}
