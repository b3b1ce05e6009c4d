import type {ChannelCredentials} from '@grpc/grpc-js';
import {
  AgentServiceClient,
  EntryServiceClient,
} from './generated/burdockmoor.js';
import type {
  DumpStateReply,
  ExchangePeersReply,
  ExchangePeersRequest,
  ForwardCallReply,
  ForwardCallRequest,
  HeartbeatReply,
  HeartbeatRequest,
  QueryAttemptsReply,
  QueryAttemptsRequest,
  ReportAttemptsReply,
  ReportAttemptsRequest,
  ServeReply,
  ServeRequest,
  StartAttemptsReply,
  StartAttemptsRequest,
  StopAttemptsReply,
  StopAttemptsRequest,
} from './generated/burdockmoor.js';
import {SystemClock} from '../utilities/clock.js';
import type {Clock} from '../utilities/clock.js';
import {Random} from '../utilities/random.js';
import {AgentMethods, EntryMethods} from './call_methods.js';
import {CallStream} from './call_stream.js';
import {createCallStreamSource} from './call_stream_source.js';
import {GrpcChannel} from './grpc_channel.js';
import type {AgentLink, EntryLink, LinkFactory} from './links.js';
import {channelCredentials} from './transport_security.js';
import type {TransportSecurityFiles} from './transport_security.js';

const PEER_DEADLINE_MILLIS = 1_000;
const CONTROL_DEADLINE_MILLIS = 3_000;
const START_DEADLINE_MILLIS = 5_000;
/** Time for the response to arrive after the request's own deadline. */
const RESPONSE_GRACE_MILLIS = 200;

interface LinkOptions {
  readonly credentials: ChannelCredentials;
  readonly clock: Clock;
  readonly random: Random;
}

/** Calls to an entry over gRPC; frequent calls go through a stream. */
class GrpcEntryLink implements EntryLink {
  private readonly channel: GrpcChannel<EntryServiceClient>;
  private readonly stream: CallStream;

  constructor(address: string, options: LinkOptions) {
    const {credentials, clock, random} = options;
    this.channel = new GrpcChannel(EntryServiceClient, address, credentials);
    const source = createCallStreamSource(this.channel);
    this.stream = new CallStream({source, clock, random});
  }

  heartbeat(
    request: HeartbeatRequest,
    deadlineMillis: number,
  ): Promise<HeartbeatReply> {
    return this.stream.call(EntryMethods.HEARTBEAT, request, deadlineMillis);
  }

  reportAttempts(request: ReportAttemptsRequest): Promise<ReportAttemptsReply> {
    return this.stream.call(
      EntryMethods.REPORT_ATTEMPTS,
      request,
      CONTROL_DEADLINE_MILLIS,
    );
  }

  forwardCall(
    request: ForwardCallRequest,
    deadlineMillis: number,
  ): Promise<ForwardCallReply> {
    return this.channel.call('ForwardCall', deadlineMillis, (stub, ...rest) =>
      stub.forwardCall(request, ...rest),
    );
  }

  exchangePeers(request: ExchangePeersRequest): Promise<ExchangePeersReply> {
    return this.channel.call(
      'ExchangePeers',
      PEER_DEADLINE_MILLIS,
      (stub, ...rest) => stub.exchangePeers(request, ...rest),
    );
  }

  close(reason: string): void {
    this.stream.close(reason);
    this.channel.close();
  }
}

/** Calls to an agent over gRPC; service requests are unary calls. */
class GrpcAgentLink implements AgentLink {
  private readonly channel: GrpcChannel<AgentServiceClient>;
  private readonly stream: CallStream;

  constructor(address: string, options: LinkOptions) {
    const {credentials, clock, random} = options;
    this.channel = new GrpcChannel(AgentServiceClient, address, credentials);
    const source = createCallStreamSource(this.channel);
    this.stream = new CallStream({source, clock, random});
  }

  serve(request: ServeRequest): Promise<ServeReply> {
    return this.channel.call(
      'Serve',
      request.deadlineMillis + RESPONSE_GRACE_MILLIS,
      (stub, ...rest) => stub.serve(request, ...rest),
    );
  }

  startAttempts(request: StartAttemptsRequest): Promise<StartAttemptsReply> {
    return this.stream.call(
      AgentMethods.START_ATTEMPTS,
      request,
      START_DEADLINE_MILLIS,
    );
  }

  stopAttempts(request: StopAttemptsRequest): Promise<StopAttemptsReply> {
    return this.stream.call(
      AgentMethods.STOP_ATTEMPTS,
      request,
      CONTROL_DEADLINE_MILLIS,
    );
  }

  queryAttempts(request: QueryAttemptsRequest): Promise<QueryAttemptsReply> {
    return this.stream.call(
      AgentMethods.QUERY_ATTEMPTS,
      request,
      CONTROL_DEADLINE_MILLIS,
    );
  }

  dumpState(): Promise<DumpStateReply> {
    return this.channel.call(
      'DumpState',
      CONTROL_DEADLINE_MILLIS,
      (stub, ...rest) => stub.dumpState({}, ...rest),
    );
  }

  close(reason: string): void {
    this.stream.close(reason);
    this.channel.close();
  }
}

export interface GrpcLinkFactoryOptions {
  readonly security?: TransportSecurityFiles;
  readonly clock?: Clock;
  /** Source of jitter for reopening streams. */
  readonly random?: Random;
}

/** Opens gRPC links, over TLS if its files are given. */
export class GrpcLinkFactory implements LinkFactory {
  private readonly options: LinkOptions;

  constructor(options: GrpcLinkFactoryOptions = {}) {
    const {
      security,
      clock = new SystemClock(),
      random = new Random(1),
    } = options;
    this.options = {credentials: channelCredentials(security), clock, random};
  }

  openEntry(address: string): EntryLink {
    return new GrpcEntryLink(address, this.options);
  }

  openAgent(address: string): AgentLink {
    return new GrpcAgentLink(address, this.options);
  }
}
