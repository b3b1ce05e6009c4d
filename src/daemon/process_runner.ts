import {ConsoleLogger} from '../observability/console_logger.js';
import type {ConsoleLoggerOptions} from '../observability/console_logger.js';
import {BoundedOutput} from '../observability/bounded_output.js';
import {Events} from '../observability/events.js';
import type {Logger} from '../observability/logger.js';
import {Metrics} from '../observability/metrics.js';
import {messageOf} from '../utilities/base_error.js';
import {SystemClock} from '../utilities/clock.js';

const STOP_DEADLINE_MILLIS = 20_000;
/** Time for the last log lines at the end; a reader may have stalled. */
const LOG_DRAIN_MILLIS = 300;

/** A role that runs until it is stopped. */
export interface RunningRole {
  /** Resolves when the role serves. */
  start(): Promise<void>;
  /** Resolves when the graceful shutdown is over. */
  stop(reason: string): Promise<void>;
  /** Names of the settings that differ from those in force, after a reload. */
  changedSettings?(): string[];
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
        void output.drain(LOG_DRAIN_MILLIS).then(() => process.exit(0));
      },
      (error: unknown) => {
        const reason = messageOf(error);
        logger.event(Events.UNEXPECTED_FAULT, {reason});
        void output.drain(LOG_DRAIN_MILLIS).then(() => process.exit(1));
      },
    );
  };
  process.on('SIGTERM', () => stop('SIGTERM'));
  process.on('SIGINT', () => stop('SIGINT'));
}

/** Reads the settings anew on SIGHUP; the process goes on whatever they say. */
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

/** Logs what nothing caught; the process goes on with what it holds. */
function logUncaught(logger: Logger): void {
  const log = (error: unknown): void =>
    logger.event(Events.UNEXPECTED_FAULT, {
      reason: error instanceof Error ? error.stack : messageOf(error),
    });
  process.on('uncaughtException', log);
  process.on('unhandledRejection', log);
}
