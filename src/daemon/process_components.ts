/** Components that every role creates in the same way. */
import {randomInt} from 'node:crypto';
import type {ListenerMonitor} from '../http/listener_monitor.js';
import {Events} from '../observability/events.js';
import type {Logger} from '../observability/logger.js';
import {GrpcServer} from '../protocol/grpc_server.js';
import type {TransportSecurityFiles} from '../protocol/transport_security.js';
import {Random} from '../utilities/random.js';

const RANDOM_SEED_BOUND = 2 ** 31;

/** Creates a random number generator with a random seed. */
export function createRandom(): Random {
  return new Random(randomInt(RANDOM_SEED_BOUND));
}

export interface ProcessServerOptions {
  readonly security?: TransportSecurityFiles;
  readonly maximumConnections?: number;
  readonly monitor?: ListenerMonitor;
}

/** Creates the gRPC server for other processes; it logs unexpected errors. */
export function createProcessServer(
  logger: Logger,
  {security, maximumConnections, monitor}: ProcessServerOptions,
): GrpcServer {
  return new GrpcServer(
    {
      onHandlerError: reason => logger.event(Events.UNEXPECTED_FAULT, {reason}),
      onConnectionsFull: hasRoom => monitor?.recordFull(hasRoom),
    },
    {security, maximumConnections},
  );
}
