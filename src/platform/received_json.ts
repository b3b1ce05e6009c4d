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

/**
 * The body of an answer; an empty one is an empty object.
 *
 * @throws What `toError` makes of a body that is not JSON.
 */
export function parseAnswer<Body>(
  body: Buffer,
  toError: (cause: unknown) => Error,
): Body {
  try {
    return JSON.parse(body.toString('utf8') || '{}') as Body;
  } catch (error) {
    throw toError(error);
  }
}
