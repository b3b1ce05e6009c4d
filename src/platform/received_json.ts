/**
 * The value of a received text; undefined if it is not JSON. The schema that
 * it is then held against refuses that, and the caller logs or answers it.
 */
export function parseReceived(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
