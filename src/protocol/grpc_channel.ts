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

const SILENT_CALLS_BEFORE_REPLACEMENT = 2;
const NEVER_CONNECTED = /^(No connection established|Name resolution failed)/;

const CHANNEL_OPTIONS: ClientOptions = {
  // Each client has connections of its own, so that a new client means a new
  // connection and not the silent one again.
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
 * Unary calls and streams to one address, on one connection. When calls in a
 * row bring no reply by their deadline, the connection counts as silent and a
 * new one takes its place.
 */
export class GrpcChannel<Stub extends Client> {
  private stub: Stub;
  private silentCalls = 0;
  private closed = false;
  private replacements = 0;

  constructor(
    private readonly constructorOfStub: ClientConstructor<Stub>,
    readonly address: string,
    private readonly credentials: ChannelCredentials,
  ) {
    this.stub = this.open();
  }

  /** How often a silent connection was replaced. */
  get replacementCount(): number {
    return this.replacements;
  }

  /** Rejects with a LinkError when no reply came by the deadline. */
  call<Reply>(
    name: string,
    deadlineMillis: number,
    invoke: UnaryCall<Stub, Reply>,
  ): Promise<Reply> {
    const used = this.stub;
    const options = {deadline: Date.now() + deadlineMillis};
    return new Promise((resolve, reject) => {
      invoke(used, new Metadata(), options, (error, reply) => {
        this.noteResult(used, error);
        if (!error) return resolve(reply);
        reject(this.toLinkError(name, error));
      });
    });
  }

  /** The client of the present connection, for streams. */
  get client(): Stub {
    return this.stub;
  }

  /** Calls in progress on the present connection may still end there. */
  replaceConnection(): void {
    if (this.closed) return;
    const silent = this.stub;
    this.silentCalls = 0;
    this.replacements++;
    this.stub = this.open();
    silent.close();
  }

  /** Closes the connection; no call may follow. */
  close(): void {
    this.closed = true;
    this.stub.close();
  }

  private open(): Stub {
    return new this.constructorOfStub(
      this.address,
      this.credentials,
      CHANNEL_OPTIONS,
    );
  }

  private noteResult(used: Stub, error: ServiceError | null): void {
    if (used !== this.stub) return;
    if (error?.code !== status.DEADLINE_EXCEEDED) {
      this.silentCalls = 0;
      return;
    }
    this.silentCalls++;
    if (this.silentCalls < SILENT_CALLS_BEFORE_REPLACEMENT) return;
    this.replaceConnection();
  }

  private toLinkError(name: string, error: ServiceError): Error {
    const notSent =
      error.code === status.UNAVAILABLE && NEVER_CONNECTED.test(error.details);
    return new LinkError(
      `Call ${name} to ${this.address} failed: ${error.details}.`,
      {props: {notSent}},
    );
  }
}
