import {StoreUnavailableError} from './platform_errors.js';

/** Checks of the store's JSON replies, so that no other reply is accepted. */

type Check = (value: unknown) => boolean;

const revision = textOf(/^[1-9]\d{0,15}$/);
/** A positive 64-bit number. */
const id = textOf(/^[1-9]\d{0,18}$/);
const seconds = textOf(/^\d{1,9}(\.\d+)?$/);
const encoded = optional(textOf(/^[A-Za-z0-9+/]*={0,2}$/));
const flag = optional(value => typeof value === 'boolean');
const header = fieldsOf({revision});
const pair = fieldsOf({key: encoded, value: encoded, mod_revision: revision});
const found = {kvs: optional(listOf(pair)), more: flag};
const response = fieldsOf({response_range: optional(fieldsOf(found))});
const lease = fieldsOf({ID: id, TTL: optional(seconds)});

const CHECKS: Readonly<Record<string, Check>> = {
  '/v3/kv/range': fieldsOf({header, ...found}),
  '/v3/kv/txn': fieldsOf({
    header,
    succeeded: flag,
    responses: optional(listOf(response)),
  }),
  '/v3/kv/deleterange': fieldsOf({header}),
  '/v3/lease/grant': fieldsOf({ID: id, TTL: seconds}),
  '/v3/lease/keepalive': fieldsOf({result: lease}),
  '/v3/lease/revoke': fieldsOf({header}),
};

/**
 * Parses the reply to a call of the path.
 *
 * @throws StoreUnavailableError if the reply has another form; a write may have
 *   taken effect.
 */
export function readStoreReply(path: string, body: string): unknown {
  const reply: unknown = JSON.parse(body);
  if (CHECKS[path](reply)) return reply;
  throw new StoreUnavailableError(`${path}: not a reply to this call: ${body}`);
}

function textOf(pattern: RegExp): Check {
  return value => typeof value === 'string' && pattern.test(value);
}

function optional(check: Check): Check {
  return value => value === undefined || check(value);
}

function listOf(check: Check): Check {
  return value => Array.isArray(value) && value.every(check);
}

function fieldsOf(checks: Readonly<Record<string, Check>>): Check {
  return value => {
    if (typeof value !== 'object' || value === null) return false;
    const fields = value as Readonly<Record<string, unknown>>;
    return Object.entries(checks).every(([name, check]) => check(fields[name]));
  };
}
