/** A line that a process wrote to its log. */
export interface LogLine {
  /** Calendar time in milliseconds since 1970. */
  readonly time: number;
  readonly process: string;
  readonly name: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Said first, and not again among the fields. */
const HEAD_FIELDS: ReadonlySet<string> = new Set([
  'time',
  'level',
  'event',
  'name',
  'process',
]);

/**
 * Reads one line; what stands before its JSON, such as the name of a file, is
 * left out. Undefined if it is no line of a process.
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
    ([key]) => !HEAD_FIELDS.has(key),
  );
  const process = String(parsed.process ?? '');
  return {time, process, name, fields: Object.fromEntries(fields)};
}

/** Fields as `key=value`, quoted where they have spaces. */
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
    // Logs are mixed with other output, and lines may be cut: both are skipped.
    return undefined;
  }
}
