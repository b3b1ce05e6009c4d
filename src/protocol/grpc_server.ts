import {Server, status} from '@grpc/grpc-js';
import type {handleUnaryCall, ServerDuplexStream} from '@grpc/grpc-js';
import {messageOf} from '../utilities/base_error.js';
import {SystemClock} from '../utilities/clock.js';
import type {Clock} from '../utilities/clock.js';
import {AgentMethods, EntryMethods, PoolMethods} from './call_methods.js';
import {CallStreamResponder} from './call_stream_responder.js';
import type {ServerBatchStream} from './call_stream_responder.js';
import {
  AgentServiceService,
  EntryServiceService,
  PoolServiceService,
} from './generated/burdockmoor.js';
import type {
  AgentServiceServer,
  EntryServiceServer,
  PoolServiceServer,
  WorkerCommands,
  WorkerUpdate,
} from './generated/burdockmoor.js';
import {ConnectionGate} from './connection_gate.js';
import {InvalidMessageError} from './invalid_message_error.js';
import type {AgentHandlers, EntryHandlers} from './links.js';
import {
  checkExchangePeers,
  checkForwardCall,
  checkHeartbeat,
  checkQueryAttempts,
  checkReportAttempts,
  checkServe,
  checkStartAttempts,
  checkStopAttempts,
  checkWorkerUpdate,
} from './message_checks.js';
import type {Attachment, PoolHandlers} from './pool_links.js';
import {MAXIMUM_MESSAGE_BYTES} from './message_limits.js';
import {createCallHandler} from './call_handler.js';
import type {CallHandler} from './call_handler.js';
import {serverCredentials} from './transport_security.js';
import type {TransportSecurityFiles} from './transport_security.js';

const SHUTDOWN_GRACE_MILLIS = 2_000;
const DEFAULT_MAXIMUM_CONNECTIONS = 1_536;

/** Receives the errors of calls that a handler failed to answer. */
export interface GrpcServerObserver {
  onHandlerError(message: string): void;
  /** A connection came beyond the maximum; whether a silent one made room. */
  onConnectionsFull?(hasRoom: boolean): void;
}

type Handler<Request, Reply> = (request: Request) => Promise<Reply>;

/** Returns a handler that validates each message first. */
function withCheck<Request, Reply>(
  check: (request: Request) => void,
  handle: Handler<Request, Reply>,
): Handler<Request, Reply> {
  return async request => {
    check(request);
    return handle(request);
  };
}

export interface GrpcServerOptions {
  readonly security?: TransportSecurityFiles;
  readonly maximumConnections?: number;
  readonly clock?: Clock;
}

/** Serves one role's handlers to other processes. */
export class GrpcServer {
  private readonly server = new Server({
    'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES,
    // Frees the resources of a peer whose connection no longer responds.
    'grpc.keepalive_time_ms': 60_000,
    'grpc.keepalive_timeout_ms': 10_000,
    'grpc.max_connection_idle_ms': 300_000,
  });
  private readonly streams = new Set<CallStreamResponder>();
  private gate: ConnectionGate | undefined;
  private isClosing = false;

  constructor(
    private readonly observer: GrpcServerObserver,
    private readonly options: GrpcServerOptions = {},
  ) {}

  /** Adds the service of an entry; call before `listen`. */
  serveEntry(handlers: EntryHandlers): void {
    const heartbeat = withCheck(checkHeartbeat, request =>
      handlers.heartbeat(request),
    );
    const reportAttempts = withCheck(checkReportAttempts, request =>
      handlers.reportAttempts(request),
    );
    const forwardCall = withCheck(checkForwardCall, request =>
      handlers.forwardCall(request),
    );
    const exchangePeers = withCheck(checkExchangePeers, request =>
      handlers.exchangePeers(request),
    );
    const implementation: EntryServiceServer = {
      heartbeat: this.createUnaryHandler(heartbeat),
      reportAttempts: this.createUnaryHandler(reportAttempts),
      forwardCall: this.createUnaryHandler(forwardCall),
      exchangePeers: this.createUnaryHandler(exchangePeers),
      streamCalls: this.createStreamHandler([
        createCallHandler(EntryMethods.HEARTBEAT, heartbeat),
        createCallHandler(EntryMethods.REPORT_ATTEMPTS, reportAttempts),
      ]),
    };
    this.server.addService(EntryServiceService, implementation);
  }

  /** Adds the service of the pool; call before `listen`. */
  servePool(handlers: PoolHandlers): void {
    this.server.addService(PoolServiceService, {
      attach: stream => this.serveAttachment(handlers, stream),
      findOwner: this.createUnaryHandler(() => handlers.findOwner()),
      noteWorkflow: this.createUnaryHandler(request =>
        handlers.noteWorkflow(request),
      ),
      showWorkflow: this.createUnaryHandler(request =>
        handlers.showWorkflow(request),
      ),
      countWaiting: this.createUnaryHandler(request =>
        handlers.countWaiting(request),
      ),
      explainPlacement: this.createUnaryHandler(request =>
        handlers.explainPlacement(request),
      ),
      streamCalls: this.createStreamHandler([
        createCallHandler(PoolMethods.NOTE_WORKFLOW, request =>
          handlers.noteWorkflow(request),
        ),
        createCallHandler(PoolMethods.SHOW_WORKFLOW, request =>
          handlers.showWorkflow(request),
        ),
        createCallHandler(PoolMethods.COUNT_WAITING, request =>
          handlers.countWaiting(request),
        ),
        createCallHandler(PoolMethods.EXPLAIN_PLACEMENT, request =>
          handlers.explainPlacement(request),
        ),
      ]),
    } satisfies PoolServiceServer);
  }

  /** Adds the service of an agent; call before `listen`. */
  serveAgent(handlers: AgentHandlers): void {
    const startAttempts = withCheck(checkStartAttempts, request =>
      handlers.startAttempts(request),
    );
    const stopAttempts = withCheck(checkStopAttempts, request =>
      handlers.stopAttempts(request),
    );
    const queryAttempts = withCheck(checkQueryAttempts, request =>
      handlers.queryAttempts(request),
    );
    const implementation: AgentServiceServer = {
      serve: this.createUnaryHandler(
        withCheck(checkServe, request => handlers.serve(request)),
      ),
      startAttempts: this.createUnaryHandler(startAttempts),
      stopAttempts: this.createUnaryHandler(stopAttempts),
      queryAttempts: this.createUnaryHandler(queryAttempts),
      dumpState: this.createUnaryHandler(() => handlers.dumpState()),
      streamCalls: this.createStreamHandler([
        createCallHandler(AgentMethods.START_ATTEMPTS, startAttempts),
        createCallHandler(AgentMethods.STOP_ATTEMPTS, stopAttempts),
        createCallHandler(AgentMethods.QUERY_ATTEMPTS, queryAttempts),
      ]),
    };
    this.server.addService(AgentServiceService, implementation);
  }

  /** Listens on HOST:PORT and resolves to the port; 0 selects a free port. */
  listen(address: string): Promise<number> {
    const {security, maximumConnections = DEFAULT_MAXIMUM_CONNECTIONS} =
      this.options;
    const injector = this.server.createConnectionInjector(
      serverCredentials(security),
    );
    this.gate = new ConnectionGate({
      maximumConnections,
      onConnection: socket => injector.injectConnection(socket),
      onFull: hasRoom => this.observer.onConnectionsFull?.(hasRoom),
    });
    return this.gate.listen(address);
  }

  /** Closes after the calls in progress; cancels them after a grace period. */
  close(reason: string): Promise<void> {
    this.isClosing = true;
    this.gate?.close();
    for (const stream of this.streams) stream.close(reason);
    const {clock = new SystemClock()} = this.options;
    return new Promise(resolve => {
      const forceTimer = clock.schedule(SHUTDOWN_GRACE_MILLIS, () => {
        this.server.forceShutdown();
        resolve();
      });
      this.server.tryShutdown(() => {
        forceTimer.cancel();
        resolve();
      });
    });
  }

  private createUnaryHandler<Request, Reply>(
    handle: Handler<Request, Reply>,
  ): handleUnaryCall<Request, Reply> {
    return (call, callback) => {
      handle(call.request).then(
        reply => callback(null, reply),
        (error: unknown) => {
          const details = messageOf(error);
          const isInvalid = error instanceof InvalidMessageError;
          if (!isInvalid) this.observer.onHandlerError(details);
          const code = isInvalid ? status.INVALID_ARGUMENT : status.INTERNAL;
          callback({code, details});
        },
      );
    };
  }

  private serveAttachment(
    handlers: PoolHandlers,
    stream: ServerDuplexStream<WorkerUpdate, WorkerCommands>,
  ): void {
    let ended = false;
    const end = (reason: string): void => {
      if (ended) return;
      ended = true;
      listener.onEnd(reason);
    };
    const attachment: Attachment<WorkerCommands> = {
      send: commands => {
        if (ended || stream.writableNeedDrain) return false;
        stream.write(commands);
        return true;
      },
      close: reason => {
        stream.end();
        end(reason);
      },
    };
    const listener = handlers.attach(attachment);
    stream.on('data', (update: WorkerUpdate) => {
      if (ended) return;
      try {
        checkWorkerUpdate(update);
        listener.onMessage(update);
      } catch (error) {
        if (!(error instanceof InvalidMessageError)) throw error;
        attachment.close(messageOf(error));
      }
    });
    stream.on('cancelled', () => end('the agent disconnected'));
    stream.on('error', error => end(messageOf(error)));
    stream.on('end', () => {
      stream.end();
      end('the agent disconnected');
    });
  }

  private createStreamHandler(
    served: CallHandler[],
  ): (stream: ServerBatchStream) => void {
    const calls = new Map(served.map(call => [call.number, call]));
    return stream => {
      if (this.isClosing) return refuseStream(stream);
      const responder = new CallStreamResponder({
        stream,
        calls,
        onHandlerError: message => this.observer.onHandlerError(message),
        onEnd: () => this.streams.delete(responder),
      });
      this.streams.add(responder);
    };
  }
}

function refuseStream(stream: ServerBatchStream): void {
  const details = 'The process is shutting down';
  stream.emit('error', {code: status.UNAVAILABLE, details});
}
