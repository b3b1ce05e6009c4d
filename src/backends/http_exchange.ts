import type {Dispatcher} from 'undici';

const NO_BODY_STATUSES = new Set([204, 304]);
const FIRST_FINAL_STATUS = 200;

export interface HttpResponse {
  readonly status: number;
  readonly headers: ReadonlyArray<readonly [name: string, value: string]>;
  readonly body: Buffer;
}

export interface HttpExchangeResult {
  /** Undefined without a complete response. */
  readonly response?: HttpResponse;
  readonly reason: string;
}

export interface HttpExchangeOptions {
  readonly maximumResponseBytes: number;
  readonly describeMismatch?: (
    headers: HttpResponse['headers'],
  ) => string | undefined;
  /** Called with each chunk of the body, which is then not buffered. */
  readonly onData?: (chunk: Buffer) => void;
  /** Called once. */
  readonly onEnd: (end: HttpExchangeResult) => void;
}

type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** One call on a connection, from its dispatch to the end of its response. */
export class HttpExchange implements Dispatcher.DispatchHandler {
  private controller?: Dispatcher.DispatchController;
  private hasEnded = false;
  private status = 0;
  private headers: HttpResponse['headers'] = [];
  private readonly chunks: Buffer[] = [];
  private receivedBytes = 0;
  private started = false;

  constructor(private readonly options: HttpExchangeOptions) {}

  /** True if any byte of the call may have been sent. */
  get mayHaveSent(): boolean {
    return this.started;
  }

  get hasResponseStarted(): boolean {
    return this.status !== 0;
  }

  /** Ends the exchange and destroys the connection that carries it. */
  abort(reason: string): void {
    if (this.hasEnded) return;
    this.end({reason});
    this.controller?.abort(new Error(reason));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.hasEnded || this.started) {
      controller.abort(new Error('the call was aborted or already sent'));
      return;
    }
    this.started = true;
    this.controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: ResponseHeaders,
  ): void {
    if (status < FIRST_FINAL_STATUS) return;
    this.status = status;
    this.headers = flatten(headers);
    const mismatch = this.options.describeMismatch?.(this.headers);
    if (mismatch) this.abort(mismatch);
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.hasEnded) return;
    if (this.options.onData) {
      this.options.onData(chunk);
      return;
    }
    this.receivedBytes += chunk.length;
    this.chunks.push(chunk);
    if (this.receivedBytes <= this.options.maximumResponseBytes) return;
    this.abort(
      `the response exceeds ${this.options.maximumResponseBytes} bytes`,
    );
  }

  onResponseEnd(): void {
    if (!this.isDelimited()) {
      this.end({
        reason: 'the response has neither content-length nor chunked encoding',
      });
      return;
    }
    const {status, headers} = this;
    const body = Buffer.concat(this.chunks);
    this.end({
      reason: 'the response ended',
      response: {status, headers, body},
    });
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.end({reason: error.message || error.name});
  }

  /**
   * True if the end of the response is explicit, so that a connection cut in
   * the body is not mistaken for it.
   */
  private isDelimited(): boolean {
    if (NO_BODY_STATUSES.has(this.status)) return true;
    return this.headers.some(
      ([name, value]) =>
        name === 'content-length' ||
        (name === 'transfer-encoding' && /\bchunked\b/i.test(value)),
    );
  }

  private end(end: HttpExchangeResult): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.options.onEnd(end);
  }
}

function flatten(headers: ResponseHeaders): HttpResponse['headers'] {
  const pairs: Array<readonly [string, string]> = [];
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    const values = Array.isArray(value) ? value : [value];
    for (const each of values) pairs.push([name.toLowerCase(), each]);
  }
  return pairs;
}
