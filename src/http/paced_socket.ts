import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {CALL_OVERHEAD_BYTES} from './listener_limits.js';
import type {CallPacer, PacedConnection} from './call_pacer.js';

const EMPTY = Buffer.alloc(0);
const END_OF_HEAD = Buffer.from('\r\n\r\n');
/** Maximum size of a piece of input in which no end of a head was found. */
const PARTIAL_HEAD_BYTES = 1_024;
/** Maximum size of a piece of a body whose length is not known. */
const PARTIAL_BODY_BYTES = 4_096;
/** Input of a refused client that is discarded, so that it reads the response. */
const LINGER_BYTES = 65_536;
const LINGER_MILLIS = 1_000;

export interface PacedSocketOptions {
  readonly pacer: CallPacer;
  readonly maximumCalls: number;
}

/** A call that is open until it was handled and its response has been sent. */
export class OpenCall {
  private isHandled = false;
  private isSent = false;

  constructor(private readonly onEnd: () => void) {}

  markHandled(): void {
    if (this.isHandled) return;
    this.isHandled = true;
    if (this.isSent) this.onEnd();
  }

  /** Records that the response was sent, or that it can't be sent any more. */
  markSent(): void {
    if (this.isSent) return;
    this.isSent = true;
    if (this.isHandled) this.onEnd();
  }
}

/**
 * A client's connection whose input reaches the HTTP parser a call at a time.
 * Node.js parses up to 64 KiB at once, thousands of calls, before it regards
 * any limit. Input that may not be processed yet is not read from the kernel,
 * so that TCP holds the client back.
 */
export class PacedSocket extends Duplex implements PacedConnection {
  /** Whether it has carried a call. */
  isUsed = false;
  /** When the client last took a byte of a response, or needed to take none. */
  progressAt = performance.now();
  private readonly calls = new Set<OpenCall>();
  /** Whether input reaches the parser at once; the stream buffers before. */
  private isStarted = false;
  private input: Buffer = EMPTY;
  /** Whether the client has ended its side and the parser was not told yet. */
  private isInputEnded = false;
  /** End of the head that is incomplete, to find an end across pieces. */
  private headTail: Buffer = EMPTY;
  private headBytes = 0;
  /** The call whose body is being received. */
  private receiving: IncomingMessage | undefined;
  /** Undefined if the length is not known. */
  private bodyBytesLeft: number | undefined;
  private endsAtHead = false;
  private isLingering = false;

  constructor(
    private readonly socket: Socket,
    private readonly options: PacedSocketOptions,
  ) {
    super({decodeStrings: false});
    socket.on('readable', () => this.takeInput());
    socket.on('end', () => {
      this.isInputEnded = true;
      this.requestTurn();
    });
    socket.on('error', error => this.destroy(error));
    socket.on('close', () => this.destroy());
    socket.on('timeout', () => this.emit('timeout'));
  }

  /** Whether a call is running, being received, or waiting to be processed. */
  get isBusy(): boolean {
    return this.calls.size > 0 || this.hasInput || this.headBytes > 0;
  }

  /** Whether a call that was received completely is open. */
  get isProcessing(): boolean {
    return this.calls.size > (this.isReceiving ? 1 : 0);
  }

  get hasUnsentOutput(): boolean {
    return this.writableLength > 0 || this.socket.writableLength > 0;
  }

  get canProceed(): boolean {
    if (!this.isStarted || this.isLingering || this.destroyed) return false;
    if (this.readableFlowing !== true || this.readableLength > 0) return false;
    if (!this.hasInput) return this.canEndInput;
    if (this.isReceiving) return true;
    return (
      this.calls.size < this.options.maximumCalls && !this.writableNeedDrain
    );
  }

  get needsRoom(): boolean {
    return this.hasInput && !this.isReceiving;
  }

  proceed(): void {
    if (!this.hasInput) {
      this.isInputEnded = false;
      this.push(null);
      return;
    }
    const piece = this.nextPiece();
    this.input = this.input.subarray(piece.length);
    if (this.isReceiving) {
      if (this.bodyBytesLeft !== undefined) this.bodyBytesLeft -= piece.length;
    } else {
      this.headBytes += piece.length;
    }
    this.push(piece);
    if (this.input.length === 0) {
      this.input = EMPTY;
      this.takeInput();
    }
  }

  /** Counts a call that the parser has emitted. */
  beginCall(request: IncomingMessage): OpenCall {
    const bytes = CALL_OVERHEAD_BYTES + this.headBytes;
    this.headBytes = 0;
    this.headTail = EMPTY;
    this.receiving = request;
    const length = request.headers['content-length'];
    const isLengthKnown = this.endsAtHead && length !== undefined;
    this.bodyBytesLeft = isLengthKnown ? Number(length) : undefined;
    this.isUsed = true;
    const call = new OpenCall(() => {
      this.calls.delete(call);
      this.options.pacer.release(bytes);
      this.requestTurn();
    });
    this.calls.add(call);
    this.options.pacer.hold(bytes);
    return call;
  }

  setTimeout(millis: number, callback?: () => void): this {
    if (callback) this.once('timeout', callback);
    this.socket.setTimeout(millis);
    return this;
  }

  override resume(): this {
    super.resume();
    process.nextTick(() => this.requestTurn());
    return this;
  }

  /**
   * Ends the connection after the last response. Closing it while input is
   * unread would reset it, and the client might lose the response.
   */
  destroySoon(): void {
    if (this.isLingering || this.destroyed) return;
    this.isLingering = true;
    this.options.pacer.remove(this);
    this.end();
    let left = LINGER_BYTES - this.input.length;
    this.input = EMPTY;
    const timer = setTimeout(() => this.destroy(), LINGER_MILLIS);
    this.once('close', () => clearTimeout(timer));
    this.socket.removeAllListeners('readable');
    this.socket.on('data', (chunk: Buffer) => {
      left -= chunk.length;
      if (left < 0) this.socket.pause();
    });
    this.socket.once('end', () => this.destroy());
    if (this.socket.readableEnded) this.once('finish', () => this.destroy());
    else this.socket.resume();
  }

  override _read(): void {
    this.isStarted = true;
    if (!this.hasInput && !this.isInputEnded) return;
    // A push within _read() would not reach the parser at once.
    process.nextTick(() => this.requestTurn());
  }

  override _write(
    chunk: Buffer | string,
    encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    this.beginOutput();
    this.socket.write(chunk, encoding, error =>
      this.endOutput(error, callback),
    );
  }

  override _writev(
    chunks: Array<{chunk: Buffer | string; encoding: BufferEncoding}>,
    callback: (error?: Error | null) => void,
  ): void {
    this.beginOutput();
    this.socket.cork();
    for (const {chunk, encoding} of chunks.slice(0, -1)) {
      this.socket.write(chunk, encoding);
    }
    const last = chunks[chunks.length - 1];
    this.socket.write(last.chunk, last.encoding, error =>
      this.endOutput(error, callback),
    );
    this.socket.uncork();
  }

  override _final(callback: (error?: Error | null) => void): void {
    this.socket.end(() => callback());
  }

  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    this.options.pacer.remove(this);
    this.input = EMPTY;
    this.socket.destroy();
    for (const call of this.calls) call.markSent();
    callback(error);
  }

  /** The HTTP server drops open calls when the client has ended its side. */
  private get canEndInput(): boolean {
    return this.isInputEnded && (this.calls.size === 0 || this.isReceiving);
  }

  private get hasInput(): boolean {
    return this.input.length > 0;
  }

  private get isReceiving(): boolean {
    return this.receiving !== undefined && !this.receiving.complete;
  }

  private beginOutput(): void {
    if (this.socket.writableLength === 0) this.progressAt = performance.now();
  }

  private endOutput(
    error: Error | null | undefined,
    callback: (error?: Error | null) => void,
  ): void {
    this.progressAt = performance.now();
    callback(error);
    if (!error) this.requestTurn();
  }

  private takeInput(): void {
    if (this.hasInput || this.isLingering || this.destroyed) return;
    const chunk = this.socket.read() as Buffer | null;
    if (!chunk) return;
    this.input = chunk;
    this.requestTurn();
  }

  private requestTurn(): void {
    if (this.canProceed) this.options.pacer.enqueue(this);
  }

  private nextPiece(): Buffer {
    const {input} = this;
    if (this.isReceiving) {
      const length = this.bodyBytesLeft ?? PARTIAL_BODY_BYTES;
      return input.subarray(0, Math.max(1, length));
    }
    const end = this.findEndOfHead();
    this.endsAtHead = end !== undefined;
    if (end !== undefined) {
      this.headTail = EMPTY;
      return input.subarray(0, end);
    }
    const piece = input.subarray(0, PARTIAL_HEAD_BYTES);
    const tail = Buffer.concat([this.headTail, piece]);
    this.headTail = tail.subarray(-(END_OF_HEAD.length - 1));
    return piece;
  }

  /** Returns the length of the input up to the end of the head. */
  private findEndOfHead(): number | undefined {
    const {headTail} = this;
    const input = this.input.subarray(0, PARTIAL_HEAD_BYTES);
    const isContinued = headTail.length > 0;
    const text = isContinued ? Buffer.concat([headTail, input]) : input;
    const start = text.indexOf(END_OF_HEAD);
    if (start < 0) return undefined;
    return start + END_OF_HEAD.length - headTail.length;
  }
}
