/**
 * Returns the value of a JSON text; undefined if the text is not JSON. Callers
 * check the value against a schema, which rejects undefined, and report that.
 */
export function parseJsonOrUndefined(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Returns the parsed body of a response; an empty object for an empty body.
 *
 * @throws The error that `toError` creates if the body is not JSON.
 */
export function parseResponseBody<Body>(
  body: Buffer,
  toError: (cause: unknown) => Error,
): Body {
  try {
    return JSON.parse(body.toString('utf8') || '{}') as Body;
  } catch (error) {
    throw toError(error);
  }
}
