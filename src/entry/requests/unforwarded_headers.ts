/**
 * Headers of requests and responses that are not forwarded: hop-by-hop headers
 * and those that each hop sets itself.
 */
export const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'expect',
  'x-request-id',
]);
