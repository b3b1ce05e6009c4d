import {ConsoleLogger} from '../observability/console_logger.js';
import type {ConsoleLoggerOptions} from '../observability/console_logger.js';
import {BoundedOutput} from '../observability/bounded_output.js';
import {Events} from '../observability/events.js';
import type {Logger} from '../observability/logger.js';
import {Metrics} from '../observability/metrics.js';
import {messageOf} from '../utilities/base_error.js';
import {SystemClock} from '../utilities/clock.js';

const STOP_TIMEOUT_MILLIS = 20_000;
/** Timeout for writing the last log lines; the reader may have stalled. */
const LOG_DRAIN_TIMEOUT_MILLIS = 300;

/** A role that runs until it is stopped. */
export interface RunningRole {
  /** Resolves when the role is serving. */
  start(): Promise<void>;
  /** Resolves when the graceful shutdown is complete. */
  stop(reason: string): Promise<void>;
  /** Rereads the settings; returns the names of those that have changed. */
  changedSettings?(): string[];
}

/** Settings that are common to all processes. */
export interface CommonProcessSettings {
  readonly process: {readonly id: string};
  readonly logs: Pick<ConsoleLoggerOptions, 'level' | 'format'>;
}

/** Starts a role and runs it until a signal stops it. */
export async function runRole(
  settings: CommonProcessSettings,
  createRole: (logger: Logger, metrics: Metrics) => RunningRole,
): Promise<void> {
  const metrics = new Metrics();
  const output = new BoundedOutput({
    clock: new SystemClock(),
    onDropped: lines => logger.event(Events.LOG_LINES_DROPPED, {lines}),
  });
  const logger: ConsoleLogger = new ConsoleLogger({
    processId: settings.process.id,
    metrics,
    output: process.stdout.isTTY ? process.stdout : output,
    ...settings.logs,
  });
  logUncaught(logger);
  const role = createRole(logger, metrics);
  stopOnSignals(role, logger, output);
  reloadOnSignal(role, logger);
  await role.start();
}

/** Stops the role gracefully on SIGTERM or SIGINT, then ends the process. */
function stopOnSignals(
  role: RunningRole,
  logger: Logger,
  output: BoundedOutput,
): void {
  let isStopping = false;
  const stop = (signal: string): void => {
    if (isStopping) return;
    isStopping = true;
    const timeout = setTimeout(() => {
      logger.event(Events.SHUTDOWN_OVERDUE, {
        afterMillis: STOP_TIMEOUT_MILLIS,
      });
      process.exit(1);
    }, STOP_TIMEOUT_MILLIS);
    role.stop(signal).then(
      () => {
        clearTimeout(timeout);
        logger.event(Events.PROCESS_STOPPED, {signal});
        void output.drain(LOG_DRAIN_TIMEOUT_MILLIS).then(() => process.exit(0));
      },
      (error: unknown) => {
        const reason = messageOf(error);
        logger.event(Events.UNEXPECTED_FAULT, {reason});
        void output.drain(LOG_DRAIN_TIMEOUT_MILLIS).then(() => process.exit(1));
      },
    );
  };
  process.on('SIGTERM', () => stop('SIGTERM'));
  process.on('SIGINT', () => stop('SIGINT'));
}

/** Logs changed settings on SIGHUP; the process keeps running in any case. */
function reloadOnSignal(role: RunningRole, logger: Logger): void {
  process.on('SIGHUP', () => {
    try {
      const changed = role.changedSettings?.() ?? [];
      logger.event(Events.SETTINGS_RELOADED, {changed: changed.join(' ')});
    } catch (error) {
      const reason = messageOf(error);
      logger.event(Events.SETTINGS_REJECTED, {reason});
    }
  });
}

/** Logs uncaught errors; the process keeps running with its state. */
function logUncaught(logger: Logger): void {
  const log = (error: unknown): void =>
    logger.event(Events.UNEXPECTED_FAULT, {
      reason: error instanceof Error ? error.stack : messageOf(error),
    });
  process.on('uncaughtException', log);
  process.on('unhandledRejection', log);
}
