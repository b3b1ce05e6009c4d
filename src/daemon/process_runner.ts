import {ConsoleLogger} from '../observability/console_logger.js';
import type {ConsoleLoggerOptions} from '../observability/console_logger.js';
import {Events} from '../observability/events.js';
import type {Logger} from '../observability/logger.js';
import {Metrics} from '../observability/metrics.js';
import {messageOf} from '../utilities/base_error.js';

const STOP_DEADLINE_MILLIS = 20_000;

/** A role that runs until it is stopped. */
export interface RunningRole {
  /** Resolves when the role serves. */
  start(): Promise<void>;
  /** Resolves when the graceful shutdown is over. */
  stop(reason: string): Promise<void>;
}

/** What every process has to know of itself. */
export interface ProcessIdentity {
  readonly process: {readonly id: string};
  readonly logs: Pick<ConsoleLoggerOptions, 'level' | 'format'>;
}

/** Starts a role, and runs it until a signal stops it. */
export async function runRole(
  settings: ProcessIdentity,
  createRole: (logger: Logger, metrics: Metrics) => RunningRole,
): Promise<void> {
  const metrics = new Metrics();
  const logger = new ConsoleLogger({
    processId: settings.process.id,
    metrics,
    ...settings.logs,
  });
  logUncaught(logger);
  const role = createRole(logger, metrics);
  stopOnSignals(role, logger);
  await role.start();
}

/** Stops the role gracefully on SIGTERM or SIGINT, then ends the process. */
function stopOnSignals(role: RunningRole, logger: Logger): void {
  let stopping = false;
  const stop = (signal: string): void => {
    if (stopping) return;
    stopping = true;
    const cut = setTimeout(() => {
      logger.event(Events.SHUTDOWN_OVERDUE, {
        afterMillis: STOP_DEADLINE_MILLIS,
      });
      process.exit(1);
    }, STOP_DEADLINE_MILLIS);
    role.stop(signal).then(
      () => {
        clearTimeout(cut);
        logger.event(Events.PROCESS_STOPPED, {signal});
        process.exit(0);
      },
      (error: unknown) => {
        const reason = messageOf(error);
        logger.event(Events.UNEXPECTED_FAULT, {reason});
        process.exit(1);
      },
    );
  };
  process.on('SIGTERM', () => stop('SIGTERM'));
  process.on('SIGINT', () => stop('SIGINT'));
}

/** Logs what nothing caught; the process goes on with what it holds. */
function logUncaught(logger: Logger): void {
  const log = (error: unknown): void =>
    logger.event(Events.UNEXPECTED_FAULT, {
      reason: error instanceof Error ? error.stack : messageOf(error),
    });
  process.on('uncaughtException', log);
  process.on('unhandledRejection', log);
}
