import request from 'undici/lib/api/api-request.js';
import Pool from 'undici/lib/dispatcher/pool.js';
import type {Dispatcher} from 'undici';
import {messageOf} from '../utilities/base_error.js';
import {ExitCodes, exitCodeOf} from './exit_codes.js';
import {createToolError, createUsageError} from './tool_error.js';

const CONNECT_TIMEOUT_MILLIS = 2_000;
const RESPONSE_TIMEOUT_MILLIS = 15_000;
const FIRST_UNSUCCESSFUL_STATUS = 300;

/** Error codes that guarantee that nothing was sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
]);

export interface EntryRequest {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** True if the request may go to another entry when one did not respond. */
  readonly isRepeatable?: boolean;
  readonly timeoutMillis?: number;
}

export interface EntryResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** HTTP client that uses the first reachable entry of a list. */
export class EntryClient {
  private readonly pools: ReadonlyArray<{url: string; pool: Pool}>;

  constructor(urls: readonly string[]) {
    this.pools = urls.map(url => ({url, pool: openPool(url)}));
  }

  /** Resolves to the response's JSON; rejects with a ToolError on an error. */
  async read<Body>(path: string): Promise<Body> {
    const response = await this.call({method: 'GET', path, isRepeatable: true});
    return JSON.parse(response.text) as Body;
  }

  /** Sends a change; never repeats it once it may have reached an entry. */
  async change<Body>(
    method: string,
    path: string,
    options: {
      headers?: Readonly<Record<string, string>>;
      body?: string;
    } = {},
  ): Promise<Body> {
    const response = await this.call({method, path, ...options});
    return JSON.parse(response.text) as Body;
  }

  /** Resolves to a successful response; rejects with a ToolError otherwise. */
  async call(options: EntryRequest): Promise<EntryResponse> {
    const response = await this.send(options);
    if (response.status < FIRST_UNSUCCESSFUL_STATUS) return response;
    throw createResponseError(response);
  }

  /** Resolves to a response of any status; rejects if there is none. */
  async send(options: EntryRequest): Promise<EntryResponse> {
    const failures: string[] = [];
    for (const {url, pool} of this.pools) {
      try {
        return await sendRequest(pool, options);
      } catch (error) {
        failures.push(`${url}: ${messageOf(error)}`);
        if (options.isRepeatable || wasNotSent(error)) continue;
        throw createToolError(
          ExitCodes.UNKNOWN,
          `${options.method} ${options.path} received no response; it may have taken effect. Tried ${failures.join('; ')}.`,
        );
      }
    }
    throw createToolError(
      ExitCodes.UNREACHABLE,
      `${options.method} ${options.path} reached no entry. Tried ${failures.join('; ')}.`,
    );
  }

  async close(): Promise<void> {
    await Promise.all(this.pools.map(({pool}) => pool.destroy()));
  }
}

/** Creates the ToolError for an error response of an entry. */
export function createResponseError(response: EntryResponse): Error {
  const body = parseBody(response.text);
  const code = Number(response.headers['x-result-code'] ?? body.code ?? 0);
  const message = `${code} ${String(body.name ?? 'HTTP')} (${response.status}): ${String(body.message ?? response.text)}`;
  return createToolError(exitCodeOf(code, response.status), message, body);
}

function openPool(url: string): Pool {
  let origin: string;
  try {
    origin = new URL(url).origin;
  } catch {
    throw createUsageError(
      `${url} is not a valid URL; expected one such as http://127.0.0.1:7070.`,
    );
  }
  if (!/^https?:/.test(origin)) {
    throw createUsageError(`${url} does not begin with http:// or https://.`);
  }
  const connect = {timeout: CONNECT_TIMEOUT_MILLIS};
  return new Pool(origin, {connections: 1, connect});
}

async function sendRequest(
  pool: Pool,
  options: EntryRequest,
): Promise<EntryResponse> {
  const timeout = options.timeoutMillis ?? RESPONSE_TIMEOUT_MILLIS;
  const response = await request.call(pool, {
    method: options.method as Dispatcher.HttpMethod,
    path: options.path,
    headers: options.headers,
    body: options.body,
    headersTimeout: timeout,
    bodyTimeout: timeout,
  });
  const text = await response.body.text();
  return {status: response.statusCode, headers: response.headers, text};
}

function wasNotSent(error: unknown): boolean {
  const {code} = error as {code?: unknown};
  return typeof code === 'string' && NOT_SENT_CODES.has(code);
}

function parseBody(text: string): Record<string, unknown> {
  try {
    const body: unknown = JSON.parse(text);
    if (typeof body !== 'object' || body === null) return {};
    return body as Record<string, unknown>;
  } catch {
    return {};
  }
}
