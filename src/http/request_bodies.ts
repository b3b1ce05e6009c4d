import type {IncomingMessage} from 'node:http';
import {BaseError} from '../utilities/base_error.js';
import {hasBody} from './send_response.js';

/** The body of a request exceeds the limit of its size. */
export const BodyTooLargeError = BaseError.subclass('BodyTooLargeError');
/** The body was given up, as all bodies together take too much memory. */
export const BodyBudgetError = BaseError.subclass('BodyBudgetError');
/** The client ended the connection within the body. */
export const BodyIncompleteError = BaseError.subclass('BodyIncompleteError');

const INITIAL_BYTES = 1_024;

/** A body that is being received, in one buffer. */
class ReceivedBody {
  /** Bytes reserved for the body, most of which may not be used yet. */
  capacity = 0;
  private buffer = Buffer.alloc(0);
  private length = 0;

  constructor(readonly giveUp: (error: Error) => void) {}

  get content(): Buffer {
    return this.buffer.subarray(0, this.length);
  }

  /** Returns the capacity needed for more bytes: at least twice the present. */
  capacityFor(bytes: number): number {
    const needed = this.length + bytes;
    if (needed <= this.capacity) return this.capacity;
    return Math.max(needed, 2 * this.capacity, INITIAL_BYTES);
  }

  append(chunk: Buffer): void {
    if (this.buffer.length < this.length + chunk.length) {
      const grown = Buffer.allocUnsafeSlow(this.capacity);
      this.buffer.copy(grown, 0, 0, this.length);
      this.buffer = grown;
    }
    this.length += chunk.copy(this.buffer, this.length);
  }
}

/**
 * Receives the bodies of requests, within a limit of the memory that all take
 * together. A body of known length counts from its begin. Where the limit would
 * be exceeded, the largest body that is still incomplete is given up, so that
 * small ones are not affected.
 */
export class RequestBodies {
  private readonly incomplete = new Set<ReceivedBody>();
  private heldBytes = 0;

  constructor(
    private readonly limitBytes: number,
    private readonly onGivenUp: () => void = () => {},
  ) {}

  /**
   * Passes the whole body to the action; the body counts until it has ended.
   *
   * @throws BodyTooLargeError, BodyBudgetError or BodyIncompleteError; the rest
   * of the body is not read then.
   */
  async use<Result>(
    request: IncomingMessage,
    maximumBytes: number,
    action: (body: Buffer) => Promise<Result> | Result,
  ): Promise<Result> {
    if (!hasBody(request)) return action(Buffer.alloc(0));
    const length = Number(request.headers['content-length'] ?? 0);
    if (length > maximumBytes)
      throw new BodyTooLargeError(`The body is over ${maximumBytes} bytes.`);
    const body = await this.receive(request, length, maximumBytes);
    try {
      return await action(body.content);
    } finally {
      this.heldBytes -= body.capacity;
    }
  }

  private receive(
    request: IncomingMessage,
    length: number,
    maximumBytes: number,
  ): Promise<ReceivedBody> {
    return new Promise((resolve, reject) => {
      const stop = (): void => {
        this.incomplete.delete(body);
        request.off('data', append).off('end', end).off('close', abort);
      };
      const body = new ReceivedBody(error => {
        stop();
        this.heldBytes -= body.capacity;
        request.pause();
        reject(error);
      });
      const append = (chunk: Buffer): void => {
        if (body.content.length + chunk.length > maximumBytes) {
          const message = `The body is over ${maximumBytes} bytes.`;
          return body.giveUp(new BodyTooLargeError(message));
        }
        const capacity = body.capacityFor(chunk.length);
        if (this.reserve(body, capacity)) body.append(chunk);
      };
      const end = (): void => {
        stop();
        resolve(body);
      };
      const abort = (): void =>
        body.giveUp(
          new BodyIncompleteError('The client ended the connection.'),
        );
      this.incomplete.add(body);
      request.on('data', append).on('end', end).on('close', abort);
      request.on('error', () => {});
      this.reserve(body, length);
    });
  }

  /** Gives up larger bodies for one; false if that one itself was given up. */
  private reserve(body: ReceivedBody, capacity: number): boolean {
    const growth = capacity - body.capacity;
    while (this.heldBytes + growth > this.limitBytes) {
      const isOnlyOne = this.heldBytes === body.capacity;
      if (isOnlyOne) break;
      const largest = this.largestIncomplete();
      const victim = largest && largest.capacity > capacity ? largest : body;
      this.onGivenUp();
      victim.giveUp(new BodyBudgetError('Too many bodies at once.'));
      if (victim === body) return false;
    }
    this.heldBytes += growth;
    body.capacity = capacity;
    return true;
  }

  private largestIncomplete(): ReceivedBody | undefined {
    let largest: ReceivedBody | undefined;
    for (const body of this.incomplete) {
      if (!largest || body.capacity > largest.capacity) largest = body;
    }
    return largest;
  }
}
