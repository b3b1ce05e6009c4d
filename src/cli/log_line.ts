/** Parsed line of a process log. */
export interface LogLine {
  /** Wall-clock time in milliseconds since 1970. */
  readonly time: number;
  readonly process: string;
  readonly name: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Keys that every log line has; they are left out of the fields. */
const COMMON_KEYS: ReadonlySet<string> = new Set([
  'time',
  'level',
  'event',
  'name',
  'process',
]);

/**
 * Parses one line; text before its JSON, such as a file name, is ignored.
 * Returns undefined if it is not a log line of a process.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const begin = text.indexOf('{');
  if (begin < 0) return undefined;
  const parsed = parseObject(text.slice(begin));
  if (!parsed) return undefined;
  const time = Date.parse(String(parsed.time));
  const {name} = parsed;
  if (Number.isNaN(time) || typeof name !== 'string') return undefined;
  const fields = Object.entries(parsed).filter(
    ([key]) => !COMMON_KEYS.has(key),
  );
  const process = String(parsed.process ?? '');
  return {time, process, name, fields: Object.fromEntries(fields)};
}

/** Returns the fields as `key=value`; values with white space are quoted. */
export function formatFields(fields: LogLine['fields']): string {
  return Object.entries(fields)
    .map(([key, value]) => {
      const text = String(value);
      return `${key}=${/\s/.test(text) ? JSON.stringify(text) : text}`;
    })
    .join(' ');
}

function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    const parsed: unknown = JSON.parse(text);
    const isObject = typeof parsed === 'object' && parsed !== null;
    return isObject ? (parsed as Record<string, unknown>) : undefined;
  } catch {
    // Skips other output mixed into the logs, and truncated lines.
    return undefined;
  }
}
