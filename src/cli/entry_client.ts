import request from 'undici/lib/api/api-request.js';
import Pool from 'undici/lib/dispatcher/pool.js';
import type {Dispatcher} from 'undici';
import {messageOf} from '../utilities/base_error.js';
import {ExitCodes, exitCodeOf} from './exit_codes.js';
import {toolError, usageError} from './tool_error.js';

const CONNECT_TIMEOUT_MILLIS = 2_000;
const ANSWER_TIMEOUT_MILLIS = 15_000;
const FIRST_FAILURE_STATUS = 300;

/** Errors after which surely nothing was sent. */
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
  /** May be sent to another entry when one gave no answer. */
  readonly repeatable?: boolean;
  readonly timeoutMillis?: number;
}

export interface EntryAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** Calls the first entry of a list that can be reached. */
export class EntryClient {
  private readonly pools: ReadonlyArray<{url: string; pool: Pool}>;

  constructor(urls: readonly string[]) {
    this.pools = urls.map(url => ({url, pool: openPool(url)}));
  }

  /** Resolves to the answer's JSON; rejects with a ToolError on a failure. */
  async read<Answer>(path: string): Promise<Answer> {
    const answer = await this.call({method: 'GET', path, repeatable: true});
    return JSON.parse(answer.text) as Answer;
  }

  /** Sends a change once. */
  async change<Answer>(
    method: string,
    path: string,
    options: {
      headers?: Readonly<Record<string, string>>;
      body?: string;
    } = {},
  ): Promise<Answer> {
    const answer = await this.call({method, path, ...options});
    return JSON.parse(answer.text) as Answer;
  }

  /** Resolves to a successful answer; rejects with a ToolError otherwise. */
  async call(options: EntryRequest): Promise<EntryAnswer> {
    const answer = await this.send(options);
    if (answer.status < FIRST_FAILURE_STATUS) return answer;
    throw failureOf(answer);
  }

  /** Resolves to any answer; rejects when none came. */
  async send(options: EntryRequest): Promise<EntryAnswer> {
    const tried: string[] = [];
    for (const {url, pool} of this.pools) {
      try {
        return await sendThrough(pool, options);
      } catch (error) {
        tried.push(`${url}: ${messageOf(error)}`);
        if (options.repeatable || wasNotSent(error)) continue;
        throw toolError(
          ExitCodes.UNKNOWN,
          `${options.method} ${options.path} brought no answer; it may have taken effect. Tried ${tried.join('; ')}.`,
        );
      }
    }
    throw toolError(
      ExitCodes.UNREACHABLE,
      `${options.method} ${options.path} reached no entry. Tried ${tried.join('; ')}.`,
    );
  }

  async close(): Promise<void> {
    await Promise.all(this.pools.map(({pool}) => pool.destroy()));
  }
}

/** The ToolError that tells of an entry's failure. */
export function failureOf(answer: EntryAnswer): Error {
  const body = readBody(answer.text);
  const code = Number(answer.headers['x-result-code'] ?? body.code ?? 0);
  const message = `${code} ${String(body.name ?? 'HTTP')} (${answer.status}): ${String(body.message ?? answer.text)}`;
  return toolError(exitCodeOf(code, answer.status), message, body);
}

function openPool(url: string): Pool {
  let origin: string;
  try {
    origin = new URL(url).origin;
  } catch {
    throw usageError(`${url} is not a URL such as http://127.0.0.1:7070.`);
  }
  if (!/^https?:/.test(origin)) {
    throw usageError(`${url} does not begin with http:// or https://.`);
  }
  const connect = {timeout: CONNECT_TIMEOUT_MILLIS};
  return new Pool(origin, {connections: 1, connect});
}

async function sendThrough(
  pool: Pool,
  options: EntryRequest,
): Promise<EntryAnswer> {
  const timeout = options.timeoutMillis ?? ANSWER_TIMEOUT_MILLIS;
  const answer = await request.call(pool, {
    method: options.method as Dispatcher.HttpMethod,
    path: options.path,
    headers: options.headers,
    body: options.body,
    headersTimeout: timeout,
    bodyTimeout: timeout,
  });
  const text = await answer.body.text();
  return {status: answer.statusCode, headers: answer.headers, text};
}

function wasNotSent(error: unknown): boolean {
  const {code} = error as {code?: unknown};
  return typeof code === 'string' && NOT_SENT_CODES.has(code);
}

function readBody(text: string): Record<string, unknown> {
  try {
    const body: unknown = JSON.parse(text);
    if (typeof body !== 'object' || body === null) return {};
    return body as Record<string, unknown>;
  } catch {
    return {};
  }
}
