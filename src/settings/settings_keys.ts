import * as valibot from 'valibot';
import type {GenericSchema} from 'valibot';

/** Schemas of settings keys, each with its range, default and example. */

/** Parser and description of the value of a settings key. */
export interface KeySchema<Value> {
  readonly schema: GenericSchema<string, Value>;
  readonly description: string;
  readonly example: string;
  /** Description of the accepted values. */
  readonly acceptedValues: string;
  readonly required: boolean;
  /** Value of the key if it is missing. */
  readonly defaultValue: Value;
  /** Description of the default. */
  readonly defaultDescription: string;
}

interface KeyText {
  readonly description: string;
  readonly example: string;
}

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const HOST_AND_PORT_PATTERN =
  /^(?:\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9._-]+):(\d{1,5})$/;
const HTTP_PREFIX = 'http://';
const MAXIMUM_PORT = 65_535;

export const NAME_ACCEPTED =
  '1 to 63 letters, digits, dots, hyphens or underscores; the first a letter or digit';

/** True if a branch, team, VM, service or failure domain may have the name. */
export function isName(text: string): boolean {
  return NAME_PATTERN.test(text);
}

function isAddress(text: string): boolean {
  const match = HOST_AND_PORT_PATTERN.exec(text);
  const port = Number(match?.[1] ?? 0);
  return port >= 1 && port <= MAXIMUM_PORT;
}

function isHttpAddress(text: string): boolean {
  if (!text.startsWith(HTTP_PREFIX)) return false;
  return isAddress(text.slice(HTTP_PREFIX.length).replace(/\/$/, ''));
}

/** Makes the key mandatory. */
export function required<Value>(
  key: Omit<
    KeySchema<Value>,
    'required' | 'defaultValue' | 'defaultDescription'
  >,
): KeySchema<Value> {
  // Never used: a text without the key is rejected.
  const defaultValue = undefined as Value;
  return {
    ...key,
    required: true,
    defaultValue,
    defaultDescription: 'none: required',
  };
}

/** Makes the key optional. */
export function optional<Value, Fallback extends Value | undefined>(
  key: Omit<
    KeySchema<Value>,
    'required' | 'defaultValue' | 'defaultDescription'
  >,
  defaultValue: Fallback,
  defaultDescription: string,
): KeySchema<Value | Fallback> {
  return {
    ...key,
    required: false,
    defaultValue,
    defaultDescription,
  };
}

type KeyWithoutDefault<Value> = Omit<
  KeySchema<Value>,
  'required' | 'defaultValue' | 'defaultDescription'
>;

/** Returns the schema of a text that the check accepts. */
function checkedTextKey(
  text: KeyText,
  accepted: string,
  isAccepted: (value: string) => boolean,
): KeyWithoutDefault<string> {
  const schema = valibot.pipe(valibot.string(), valibot.check(isAccepted));
  return {...text, schema, acceptedValues: accepted};
}

export function nameKey(text: KeyText): KeyWithoutDefault<string> {
  return checkedTextKey(text, NAME_ACCEPTED, isName);
}

export function pathKey(text: KeyText): KeyWithoutDefault<string> {
  return checkedTextKey(text, 'a file path', value => value !== '');
}

export function addressKey(text: KeyText): KeyWithoutDefault<string> {
  return checkedTextKey(text, 'HOST:PORT', isAddress);
}

export function httpAddressKey(text: KeyText): KeyWithoutDefault<string> {
  return checkedTextKey(text, 'http://HOST:PORT', isHttpAddress);
}

/** Returns the schema of a comma-separated list of texts, each checked. */
function listKey(
  text: KeyText,
  accepted: string,
  isAccepted: (value: string) => boolean,
): KeyWithoutDefault<readonly string[]> {
  const schema = valibot.pipe(
    valibot.string(),
    valibot.transform(value => value.split(',').map(part => part.trim())),
    valibot.check(parts => parts.every(isAccepted)),
  );
  return {...text, schema, acceptedValues: accepted};
}

export function addressListKey(
  text: KeyText,
): KeyWithoutDefault<readonly string[]> {
  return listKey(text, 'HOST:PORT, separated by commas', isAddress);
}

export function httpAddressListKey(
  text: KeyText,
): KeyWithoutDefault<readonly string[]> {
  return listKey(text, 'http://HOST:PORT, separated by commas', isHttpAddress);
}

export function choiceListKey(
  text: KeyText,
  choices: readonly string[],
): KeyWithoutDefault<readonly string[]> {
  const accepted = `${choices.join(', ')}; separated by commas`;
  return listKey(text, accepted, value => choices.includes(value));
}

export function choiceKey<Choice extends string>(
  text: KeyText,
  choices: readonly Choice[],
): KeyWithoutDefault<Choice> {
  return {
    ...text,
    schema: valibot.pipe(valibot.string(), valibot.picklist(choices)),
    acceptedValues: choices.join(', '),
  };
}

export function booleanKey(text: KeyText): KeyWithoutDefault<boolean> {
  const schema = valibot.pipe(
    valibot.string(),
    valibot.picklist(['true', 'false']),
    valibot.transform(value => value === 'true'),
  );
  return {...text, schema, acceptedValues: 'true, false'};
}

/** Returns the schema of an integer within the inclusive bounds. */
export function integerKey(
  text: KeyText,
  minimum: number,
  maximum: number,
): KeyWithoutDefault<number> {
  const accepted = `a whole number from ${minimum} to ${maximum}`;
  return numberKey(text, /^\d{1,15}$/, minimum, maximum, accepted);
}

/** Returns the schema of a decimal number within the inclusive bounds. */
export function decimalKey(
  text: KeyText,
  minimum: number,
  maximum: number,
): KeyWithoutDefault<number> {
  const accepted = `a number from ${minimum} to ${maximum}`;
  return numberKey(text, /^\d{1,9}(\.\d{1,6})?$/, minimum, maximum, accepted);
}

function numberKey(
  text: KeyText,
  pattern: RegExp,
  minimum: number,
  maximum: number,
  accepted: string,
): KeyWithoutDefault<number> {
  const schema = valibot.pipe(
    valibot.string(),
    valibot.regex(pattern),
    valibot.transform(Number),
    valibot.minValue(minimum),
    valibot.maxValue(maximum),
  );
  return {...text, schema, acceptedValues: accepted};
}
