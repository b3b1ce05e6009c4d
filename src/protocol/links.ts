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
 * Calls to one entry. Each call rejects with a LinkError if no reply arrives in
 * time; the call may still have taken effect unless the error has `notSent`.
 * Tests replace the gRPC links with fakes.
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

/** Calls to one agent; they fail like those of an `EntryLink`. */
export interface AgentLink {
  serve(request: ServeRequest): Promise<ServeReply>;
  startAttempts(request: StartAttemptsRequest): Promise<StartAttemptsReply>;
  stopAttempts(request: StopAttemptsRequest): Promise<StopAttemptsReply>;
  queryAttempts(request: QueryAttemptsRequest): Promise<QueryAttemptsReply>;
  dumpState(): Promise<DumpStateReply>;
  close(reason: string): void;
}

/** Opens links by address; the caller must close them. */
export interface LinkFactory {
  openEntry(address: string): EntryLink;
  openAgent(address: string): AgentLink;
}

/** Handlers of an entry, called by the gRPC server and by test fakes. */
export type EntryHandlers = Omit<
  EntryLink,
  'close' | 'heartbeat' | 'forwardCall'
> & {
  heartbeat(request: HeartbeatRequest): Promise<HeartbeatReply>;
  forwardCall(request: ForwardCallRequest): Promise<ForwardCallReply>;
};

/** Handlers of an agent, called by the gRPC server and by test fakes. */
export type AgentHandlers = Omit<AgentLink, 'close'>;

/** Final outcome of a service request. */
export const ServeOutcome = {
  /** The complete response was received. */
  ANSWERED: 'answered',
  /** The request did not run and will not run later. */
  NOT_RUN: 'notRun',
  /** The request may have run. */
  UNKNOWN: 'unknown',
} as const;
export type ServeOutcome = (typeof ServeOutcome)[keyof typeof ServeOutcome];
