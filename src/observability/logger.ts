import type {EventType} from './events.js';

/** Fields of a log line. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Logs numbered events. */
export interface Logger {
  event(type: EventType, fields?: LogFields): void;
}

/** Discards all events. */
export class SilentLogger implements Logger {
  event(): void {}
}
