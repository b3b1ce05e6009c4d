import * as valibot from 'valibot';
import type {GenericSchema} from 'valibot';

/** Types of settings values, each with its range, default and example. */

/** What an operator writes for the key, and what a process reads from it. */
export interface KeySchema<Value> {
  readonly schema: GenericSchema<string, Value>;
  readonly description: string;
  readonly example: string;
  /** The accepted values in words. */
  readonly accepted: string;
  readonly required: boolean;
  /** The value of a key that isn't there. */
  readonly fallback: Value;
  /** The default in words. */
  readonly fallbackText: string;
}

interface KeyText {
  readonly description: string;
  readonly example: string;
}

const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const HOST_AND_PORT = /^(?:\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9._-]+):(\d{1,5})$/;
const HTTP = 'http://';
const MAXIMUM_PORT = 65_535;

export const NAME_ACCEPTED =
  '1 to 63 letters, digits, dots, hyphens or underscores; the first a letter or digit';

/** Whether it can name a branch, team, VM, service or failure domain. */
export function isName(text: string): boolean {
  return NAME.test(text);
}

function isAddress(text: string): boolean {
  const match = HOST_AND_PORT.exec(text);
  const port = Number(match?.[1] ?? 0);
  return port >= 1 && port <= MAXIMUM_PORT;
}

function isHttpAddress(text: string): boolean {
  if (!text.startsWith(HTTP)) return false;
  return isAddress(text.slice(HTTP.length).replace(/\/$/, ''));
}

/** The key must be there. */
export function required<Value>(
  key: Omit<KeySchema<Value>, 'required' | 'fallback' | 'fallbackText'>,
): KeySchema<Value> {
  // Never read: a text without the key has a fault.
  const fallback = undefined as Value;
  return {...key, required: true, fallback, fallbackText: 'none: required'};
}

/** The key may be left out. */
export function optional<Value, Fallback extends Value | undefined>(
  key: Omit<KeySchema<Value>, 'required' | 'fallback' | 'fallbackText'>,
  fallback: Fallback,
  fallbackText: string,
): KeySchema<Value | Fallback> {
  return {...key, required: false, fallback, fallbackText};
}

type UnsetKey<Value> = Omit<
  KeySchema<Value>,
  'required' | 'fallback' | 'fallbackText'
>;

/** A text that the check accepts. */
function checkedText(
  text: KeyText,
  accepted: string,
  accepts: (value: string) => boolean,
): UnsetKey<string> {
  const schema = valibot.pipe(valibot.string(), valibot.check(accepts));
  return {...text, schema, accepted};
}

export function nameKey(text: KeyText): UnsetKey<string> {
  return checkedText(text, NAME_ACCEPTED, isName);
}

export function pathKey(text: KeyText): UnsetKey<string> {
  return checkedText(text, 'a path of a file', value => value !== '');
}

export function addressKey(text: KeyText): UnsetKey<string> {
  return checkedText(text, 'HOST:PORT', isAddress);
}

export function httpAddressKey(text: KeyText): UnsetKey<string> {
  return checkedText(text, 'http://HOST:PORT', isHttpAddress);
}

/** Texts divided by commas, at least one, each accepted by the check. */
function listKey(
  text: KeyText,
  accepted: string,
  accepts: (value: string) => boolean,
): UnsetKey<readonly string[]> {
  const schema = valibot.pipe(
    valibot.string(),
    valibot.transform(value => value.split(',').map(part => part.trim())),
    valibot.check(parts => parts.every(accepts)),
  );
  return {...text, schema, accepted};
}

export function addressListKey(text: KeyText): UnsetKey<readonly string[]> {
  return listKey(text, 'HOST:PORT, divided by commas', isAddress);
}

export function httpAddressListKey(text: KeyText): UnsetKey<readonly string[]> {
  return listKey(text, 'http://HOST:PORT, divided by commas', isHttpAddress);
}

export function choiceListKey(
  text: KeyText,
  choices: readonly string[],
): UnsetKey<readonly string[]> {
  const accepted = `${choices.join(', ')}; divided by commas`;
  return listKey(text, accepted, value => choices.includes(value));
}

export function choiceKey<Choice extends string>(
  text: KeyText,
  choices: readonly Choice[],
): UnsetKey<Choice> {
  return {
    ...text,
    schema: valibot.pipe(valibot.string(), valibot.picklist(choices)),
    accepted: choices.join(', '),
  };
}

export function booleanKey(text: KeyText): UnsetKey<boolean> {
  const schema = valibot.pipe(
    valibot.string(),
    valibot.picklist(['true', 'false']),
    valibot.transform(value => value === 'true'),
  );
  return {...text, schema, accepted: 'true, false'};
}

/** A whole number from the minimum to the maximum, both accepted. */
export function integerKey(
  text: KeyText,
  minimum: number,
  maximum: number,
): UnsetKey<number> {
  const accepted = `a whole number from ${minimum} to ${maximum}`;
  return numberKey(text, /^\d{1,15}$/, minimum, maximum, accepted);
}

/** A decimal number from the minimum to the maximum, both accepted. */
export function decimalKey(
  text: KeyText,
  minimum: number,
  maximum: number,
): UnsetKey<number> {
  const accepted = `a number from ${minimum} to ${maximum}`;
  return numberKey(text, /^\d{1,9}(\.\d{1,6})?$/, minimum, maximum, accepted);
}

function numberKey(
  text: KeyText,
  form: RegExp,
  minimum: number,
  maximum: number,
  accepted: string,
): UnsetKey<number> {
  const schema = valibot.pipe(
    valibot.string(),
    valibot.regex(form),
    valibot.transform(Number),
    valibot.minValue(minimum),
    valibot.maxValue(maximum),
  );
  return {...text, schema, accepted};
}
