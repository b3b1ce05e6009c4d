import {Metadata, status} from '@grpc/grpc-js';
import type {
  CallOptions,
  ChannelCredentials,
  Client,
  ClientOptions,
  ClientUnaryCall,
  ServiceError,
} from '@grpc/grpc-js';
import {LinkError} from './link_error.js';
import {MAXIMUM_MESSAGE_BYTES} from './message_limits.js';

const UNANSWERED_CALLS_BEFORE_REPLACEMENT = 2;
const NEVER_CONNECTED_DETAILS =
  /^(No connection established|Name resolution failed)/;

const CHANNEL_OPTIONS: ClientOptions = {
  // Gives each client its own connections, so that a new client doesn't reuse
  // the unresponsive connection.
  'grpc.use_local_subchannel_pool': 1,
  'grpc.keepalive_time_ms': 30_000,
  'grpc.keepalive_timeout_ms': 3_000,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 2_000,
  'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES,
};

type ClientConstructor<Stub extends Client> = new (
  address: string,
  credentials: ChannelCredentials,
  options?: Partial<ClientOptions>,
) => Stub;

/** One unary call on a generated client. */
export type UnaryCall<Stub, Reply> = (
  stub: Stub,
  metadata: Metadata,
  options: Partial<CallOptions>,
  callback: (error: ServiceError | null, reply: Reply) => void,
) => ClientUnaryCall;

/**
 * Unary calls and streams to one address over one connection. The connection
 * is replaced after consecutive calls without a reply before their deadline.
 */
export class GrpcChannel<Stub extends Client> {
  private stub: Stub;
  private unansweredCalls = 0;
  private isClosed = false;
  private replacements = 0;

  constructor(
    private readonly stubConstructor: ClientConstructor<Stub>,
    readonly address: string,
    private readonly credentials: ChannelCredentials,
  ) {
    this.stub = this.createStub();
  }

  /** Number of times that the connection was replaced. */
  get replacementCount(): number {
    return this.replacements;
  }

  /** Rejects with a LinkError if no reply arrives before the deadline. */
  call<Reply>(
    name: string,
    deadlineMillis: number,
    invoke: UnaryCall<Stub, Reply>,
  ): Promise<Reply> {
    const usedStub = this.stub;
    const options = {deadline: Date.now() + deadlineMillis};
    return new Promise((resolve, reject) => {
      invoke(usedStub, new Metadata(), options, (error, reply) => {
        this.recordResult(usedStub, error);
        if (!error) return resolve(reply);
        reject(this.toLinkError(name, error));
      });
    });
  }

  /** Client of the current connection, for opening streams. */
  get client(): Stub {
    return this.stub;
  }

  /** Switches to a new connection; calls in progress may still complete. */
  replaceConnection(): void {
    if (this.isClosed) return;
    const replaced = this.stub;
    this.unansweredCalls = 0;
    this.replacements++;
    this.stub = this.createStub();
    replaced.close();
  }

  /** Closes the connection; must not be followed by a call. */
  close(): void {
    this.isClosed = true;
    this.stub.close();
  }

  private createStub(): Stub {
    return new this.stubConstructor(
      this.address,
      this.credentials,
      CHANNEL_OPTIONS,
    );
  }

  private recordResult(usedStub: Stub, error: ServiceError | null): void {
    if (usedStub !== this.stub) return;
    if (error?.code !== status.DEADLINE_EXCEEDED) {
      this.unansweredCalls = 0;
      return;
    }
    this.unansweredCalls++;
    if (this.unansweredCalls < UNANSWERED_CALLS_BEFORE_REPLACEMENT) return;
    this.replaceConnection();
  }

  private toLinkError(name: string, error: ServiceError): Error {
    const notSent =
      error.code === status.UNAVAILABLE &&
      NEVER_CONNECTED_DETAILS.test(error.details);
    return new LinkError(
      `Call ${name} to ${this.address} failed: ${error.details}.`,
      {props: {notSent}},
    );
  }
}
