import {createConsola} from 'consola/basic';
import type {ConsolaInstance, LogObject} from 'consola/basic';
import {Events} from './events.js';
import type {EventLevel, EventType} from './events.js';
import type {LogFields, Logger} from './logger.js';
import type {Counter, Metrics} from './metrics.js';

/** Destination of log lines, such as standard output. */
export interface LogOutput {
  readonly isTTY?: boolean;
  write(text: string): unknown;
}

export interface ConsoleLoggerOptions {
  readonly processId: string;
  /** Lowest level that is written. */
  readonly level?: EventLevel;
  /** `auto` writes text to a terminal and JSON lines to any other output. */
  readonly format?: 'auto' | 'json' | 'text';
  readonly output?: LogOutput;
  /** Metrics in which the events are counted too. */
  readonly metrics?: Metrics;
  /** Returns the wall-clock time in milliseconds since 1970. */
  readonly wallTime?: () => number;
}

const LEVEL_ORDER: Readonly<Record<EventLevel, number>> = {
  debug: 0,
  info: 1,
  warn: 2,
  error: 3,
};

/** Enables debug events; consola gives severe levels low numbers. */
const CONSOLA_DEBUG_LEVEL = 4;

const EVENT_NAMES: ReadonlyMap<number, string> = new Map(
  Object.entries(Events).map(([name, type]) => [type.number, name]),
);

interface LogLine extends LogFields {
  readonly time: string;
  readonly level: EventLevel;
  readonly event: number;
  readonly name: string;
  readonly process: string;
}

/** Logs events through consola and counts them, whatever their level. */
export class ConsoleLogger implements Logger {
  private readonly counts = new Map<number, number>();
  private readonly console: ConsolaInstance;
  private readonly processId: string;
  private readonly lowestLevel: number;
  private readonly wallTime: () => number;
  private readonly metrics: Metrics | undefined;
  private readonly counters = new Map<number, Counter>();

  constructor(options: ConsoleLoggerOptions) {
    const {output = process.stdout, format = 'auto', level = 'info'} = options;
    this.processId = options.processId;
    this.lowestLevel = LEVEL_ORDER[level];
    this.wallTime = options.wallTime ?? Date.now;
    this.metrics = options.metrics;
    const json = format === 'json' || (format === 'auto' && !output.isTTY);
    this.console = createConsola({
      level: CONSOLA_DEBUG_LEVEL,
      throttle: 0,
      reporters: [
        {
          log: (entry: LogObject) => {
            const line = entry.args[0] as LogLine;
            output.write(
              `${json ? JSON.stringify(line) : formatAsText(line)}\n`,
            );
          },
        },
      ],
    });
  }

  event(type: EventType, fields: LogFields = {}): void {
    this.count(type);
    if (LEVEL_ORDER[type.level] < this.lowestLevel) return;
    const head = {
      time: new Date(this.wallTime()).toISOString(),
      level: type.level,
      event: type.number,
      name: eventName(type.number),
      process: this.processId,
    };
    // Spread first for the order in the line, and last to override the fields.
    const line: LogLine = {...head, ...fields, ...head};
    this.console[type.level].raw(line);
  }

  private count(type: EventType): void {
    this.counts.set(type.number, (this.counts.get(type.number) ?? 0) + 1);
    this.eventCounter(type)?.increment();
  }

  private eventCounter(type: EventType): Counter | undefined {
    const known = this.counters.get(type.number);
    if (known || !this.metrics) return known;
    const counter = this.metrics.counter(
      'events_total',
      'Events that were logged, by name.',
      {event: eventName(type.number), level: type.level},
    );
    this.counters.set(type.number, counter);
    return counter;
  }

  /** Returns the number of occurrences since startup, by event number. */
  countsByNumber(): ReadonlyMap<number, number> {
    return this.counts;
  }
}

/** Returns the name of an event in the catalog. */
export function eventName(number: number): string {
  return EVENT_NAMES.get(number) ?? `EVENT_${number}`;
}

function formatAsText(line: LogLine): string {
  const {time, level, event, name, process: id, ...fields} = line;
  const values = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${String(value)}`);
  return [time, level.padEnd(5), event, name, id, ...values].join(' ');
}
