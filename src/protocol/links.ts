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

/**
 * Calls to one entry. Each call of a link rejects with a LinkError when no reply
 * came in time; it may then have taken effect, unless the error says that it
 * was not sent. Tests put fakes in the place of the gRPC links.
 */
export interface EntryLink {
  heartbeat(
    request: HeartbeatRequest,
    deadlineMillis: number,
  ): Promise<HeartbeatReply>;
  reportAttempts(request: ReportAttemptsRequest): Promise<ReportAttemptsReply>;
  forwardCall(
    request: ForwardCallRequest,
    deadlineMillis: number,
  ): Promise<ForwardCallReply>;
  exchangePeers(request: ExchangePeersRequest): Promise<ExchangePeersReply>;
  close(reason: string): void;
}

/** Calls to one agent; they fail as those of an `EntryLink` do. */
export interface AgentLink {
  serve(request: ServeRequest): Promise<ServeReply>;
  startAttempts(request: StartAttemptsRequest): Promise<StartAttemptsReply>;
  stopAttempts(request: StopAttemptsRequest): Promise<StopAttemptsReply>;
  queryAttempts(request: QueryAttemptsRequest): Promise<QueryAttemptsReply>;
  dumpState(): Promise<DumpStateReply>;
  close(reason: string): void;
}

/** Opens links by address; the caller owns and closes what it opened. */
export interface LinkFactory {
  openEntry(address: string): EntryLink;
  openAgent(address: string): AgentLink;
}

/** What an entry answers; the gRPC server and the test fakes call it. */
export type EntryHandlers = Omit<
  EntryLink,
  'close' | 'heartbeat' | 'forwardCall'
> & {
  heartbeat(request: HeartbeatRequest): Promise<HeartbeatReply>;
  forwardCall(request: ForwardCallRequest): Promise<ForwardCallReply>;
};

/** What an agent answers; the gRPC server and the test fakes call it. */
export type AgentHandlers = Omit<AgentLink, 'close'>;

/** What is known of a request at its end. */
export const ServeOutcome = {
  /** The whole answer is here. */
  ANSWERED: 'answered',
  /** It did not run, and will not. */
  NOT_RUN: 'notRun',
  /** It may have run. */
  UNKNOWN: 'unknown',
} as const;
export type ServeOutcome = (typeof ServeOutcome)[keyof typeof ServeOutcome];
