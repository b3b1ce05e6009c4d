import {Server, status} from '@grpc/grpc-js';
import type {handleUnaryCall} from '@grpc/grpc-js';
import {messageOf} from '../utilities/base_error.js';
import {
  AgentServiceService,
  EntryServiceService,
} from './generated/burdockmoor.js';
import type {
  AgentServiceServer,
  EntryServiceServer,
} from './generated/burdockmoor.js';
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
} from './message_checks.js';
import {MAXIMUM_MESSAGE_BYTES} from './message_limits.js';
import {serverCredentials} from './transport_security.js';
import type {TransportSecurityFiles} from './transport_security.js';

const SHUTDOWN_GRACE_MILLIS = 2_000;

/** What the server tells of calls that its handlers could not answer. */
export interface GrpcServerObserver {
  onFault(message: string): void;
}

/** Checks a message, then hands it to the handler. */
function unary<Request, Reply>(
  check: (request: Request) => void,
  handle: (request: Request) => Promise<Reply>,
  observer: GrpcServerObserver,
): handleUnaryCall<Request, Reply> {
  return (call, callback) => {
    const answer = async (): Promise<Reply> => {
      check(call.request);
      return handle(call.request);
    };
    answer().then(
      reply => callback(null, reply),
      (error: unknown) => {
        const details = messageOf(error);
        const invalid = error instanceof InvalidMessageError;
        if (!invalid) observer.onFault(details);
        const code = invalid ? status.INVALID_ARGUMENT : status.INTERNAL;
        callback({code, details});
      },
    );
  };
}

/** Serves one role's handlers to other processes. */
export class GrpcServer {
  private readonly server = new Server({
    'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES,
  });

  constructor(
    private readonly observer: GrpcServerObserver,
    private readonly options: {security?: TransportSecurityFiles} = {},
  ) {}

  /** Adds the calls of an entry; to be called before `listen`. */
  serveEntry(handlers: EntryHandlers): void {
    const {observer} = this;
    const implementation: EntryServiceServer = {
      heartbeat: unary(
        checkHeartbeat,
        request => handlers.heartbeat(request),
        observer,
      ),
      reportAttempts: unary(
        checkReportAttempts,
        request => handlers.reportAttempts(request),
        observer,
      ),
      forwardCall: unary(
        checkForwardCall,
        request => handlers.forwardCall(request),
        observer,
      ),
      exchangePeers: unary(
        checkExchangePeers,
        request => handlers.exchangePeers(request),
        observer,
      ),
    };
    this.server.addService(EntryServiceService, implementation);
  }

  /** Adds the calls of an agent; to be called before `listen`. */
  serveAgent(handlers: AgentHandlers): void {
    const {observer} = this;
    const implementation: AgentServiceServer = {
      serve: unary(checkServe, request => handlers.serve(request), observer),
      startAttempts: unary(
        checkStartAttempts,
        request => handlers.startAttempts(request),
        observer,
      ),
      stopAttempts: unary(
        checkStopAttempts,
        request => handlers.stopAttempts(request),
        observer,
      ),
      queryAttempts: unary(
        checkQueryAttempts,
        request => handlers.queryAttempts(request),
        observer,
      ),
      dumpState: unary(
        () => {},
        () => handlers.dumpState(),
        observer,
      ),
    };
    this.server.addService(AgentServiceService, implementation);
  }

  /** Listens on HOST:PORT and resolves to the port; port 0 takes a free one. */
  listen(address: string): Promise<number> {
    const credentials = serverCredentials(this.options.security);
    return new Promise((resolve, reject) => {
      this.server.bindAsync(address, credentials, (error, port) => {
        if (error) return reject(error);
        resolve(port);
      });
    });
  }

  /** Lets calls in progress end, then closes; open calls are cut after a while. */
  close(): Promise<void> {
    return new Promise(resolve => {
      const cut = setTimeout(() => {
        this.server.forceShutdown();
        resolve();
      }, SHUTDOWN_GRACE_MILLIS);
      this.server.tryShutdown(() => {
        clearTimeout(cut);
        resolve();
      });
    });
  }
}
