import {
  check,
  integer,
  maxLength,
  maxValue,
  minLength,
  minValue,
  number,
  pipe,
  regex,
  string,
  transform,
} from 'valibot';

/** Schemas of values that other programs send, with the limits of messages. */

/** Maximum of an unsigned 32-bit number, as in messages between processes. */
const MAXIMUM_NUMBER = 2 ** 32 - 1;
/** The owner rejects longer names; leaves room for the start time. */
const MAXIMUM_NAME_LENGTH = 150;
const PRINTABLE = /^\P{Cc}*$/u;
const HOST_AND_PORT = /^(?:[\w.-]+|\[[\dA-Fa-f:.]+\]):(\d{1,5})$/;
const MAXIMUM_PORT = 65_535;

/** A name without control characters, which may be empty. */
export const textSchema = pipe(
  string(),
  maxLength(MAXIMUM_NAME_LENGTH),
  regex(PRINTABLE),
);

export const nameSchema = pipe(textSchema, minLength(1));

/** A number that fits a message; a fraction is rounded down. */
export const amountSchema = pipe(
  number(),
  minValue(0),
  maxValue(MAXIMUM_NUMBER),
  transform(Math.floor),
);

/** A count or a number in a sequence. */
export const countSchema = pipe(
  number(),
  integer(),
  minValue(0),
  maxValue(MAXIMUM_NUMBER),
);

/** A time in milliseconds since 1970. */
export const timestampSchema = pipe(
  number(),
  integer(),
  minValue(0),
  maxValue(Number.MAX_SAFE_INTEGER),
);

/** HOST:PORT with a port that a call can be sent to. */
export const addressSchema = pipe(
  string(),
  check(address => {
    const port = Number(HOST_AND_PORT.exec(address)?.[1] ?? 0);
    return port > 0 && port <= MAXIMUM_PORT;
  }),
);

/** Returns HOST of HOST:PORT. */
export function hostOf(address: string): string {
  return address.replace(/:\d+$/, '');
}
