import type {EventType} from './events.js';

/** Values that a log line may carry. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes numbered events. */
export interface Logger {
  event(type: EventType, fields?: LogFields): void;
}

/** Writes nothing. */
export class SilentLogger implements Logger {
  event(): void {}
}
