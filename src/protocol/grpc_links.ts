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
import {GrpcChannel} from './grpc_channel.js';
import type {AgentLink, EntryLink, LinkFactory} from './links.js';
import {channelCredentials} from './transport_security.js';
import type {TransportSecurityFiles} from './transport_security.js';

const HEARTBEAT_DEADLINE_MILLIS = 1_000;
const CONTROL_DEADLINE_MILLIS = 3_000;
const START_DEADLINE_MILLIS = 5_000;
/** Time for an answer to come back after the request's own deadline. */
const ANSWER_GRACE_MILLIS = 200;

/** Calls to an entry over gRPC. */
class GrpcEntryLink implements EntryLink {
  private readonly channel: GrpcChannel<EntryServiceClient>;

  constructor(address: string, credentials: ChannelCredentials) {
    this.channel = new GrpcChannel(EntryServiceClient, address, credentials);
  }

  heartbeat(request: HeartbeatRequest): Promise<HeartbeatReply> {
    return this.channel.call(
      'Heartbeat',
      HEARTBEAT_DEADLINE_MILLIS,
      (stub, metadata, options, callback) =>
        stub.heartbeat(request, metadata, options, callback),
    );
  }

  reportAttempts(request: ReportAttemptsRequest): Promise<ReportAttemptsReply> {
    return this.channel.call(
      'ReportAttempts',
      CONTROL_DEADLINE_MILLIS,
      (stub, metadata, options, callback) =>
        stub.reportAttempts(request, metadata, options, callback),
    );
  }

  forwardCall(
    request: ForwardCallRequest,
    deadlineMillis: number,
  ): Promise<ForwardCallReply> {
    return this.channel.call(
      'ForwardCall',
      deadlineMillis,
      (stub, metadata, options, callback) =>
        stub.forwardCall(request, metadata, options, callback),
    );
  }

  exchangePeers(request: ExchangePeersRequest): Promise<ExchangePeersReply> {
    return this.channel.call(
      'ExchangePeers',
      HEARTBEAT_DEADLINE_MILLIS,
      (stub, metadata, options, callback) =>
        stub.exchangePeers(request, metadata, options, callback),
    );
  }

  close(): void {
    this.channel.close();
  }
}

/** Calls to an agent over gRPC. */
class GrpcAgentLink implements AgentLink {
  private readonly channel: GrpcChannel<AgentServiceClient>;

  constructor(address: string, credentials: ChannelCredentials) {
    this.channel = new GrpcChannel(AgentServiceClient, address, credentials);
  }

  serve(request: ServeRequest): Promise<ServeReply> {
    return this.channel.call(
      'Serve',
      request.deadlineMillis + ANSWER_GRACE_MILLIS,
      (stub, metadata, options, callback) =>
        stub.serve(request, metadata, options, callback),
    );
  }

  startAttempts(request: StartAttemptsRequest): Promise<StartAttemptsReply> {
    return this.channel.call(
      'StartAttempts',
      START_DEADLINE_MILLIS,
      (stub, metadata, options, callback) =>
        stub.startAttempts(request, metadata, options, callback),
    );
  }

  stopAttempts(request: StopAttemptsRequest): Promise<StopAttemptsReply> {
    return this.channel.call(
      'StopAttempts',
      CONTROL_DEADLINE_MILLIS,
      (stub, metadata, options, callback) =>
        stub.stopAttempts(request, metadata, options, callback),
    );
  }

  queryAttempts(request: QueryAttemptsRequest): Promise<QueryAttemptsReply> {
    return this.channel.call(
      'QueryAttempts',
      CONTROL_DEADLINE_MILLIS,
      (stub, metadata, options, callback) =>
        stub.queryAttempts(request, metadata, options, callback),
    );
  }

  dumpState(): Promise<DumpStateReply> {
    return this.channel.call(
      'DumpState',
      CONTROL_DEADLINE_MILLIS,
      (stub, metadata, options, callback) =>
        stub.dumpState({}, metadata, options, callback),
    );
  }

  close(): void {
    this.channel.close();
  }
}

/** Opens gRPC links, over TLS when its files are given. */
export class GrpcLinkFactory implements LinkFactory {
  private readonly credentials: ChannelCredentials;

  constructor(options: {security?: TransportSecurityFiles} = {}) {
    this.credentials = channelCredentials(options.security);
  }

  openEntry(address: string): EntryLink {
    return new GrpcEntryLink(address, this.credentials);
  }

  openAgent(address: string): AgentLink {
    return new GrpcAgentLink(address, this.credentials);
  }
}
