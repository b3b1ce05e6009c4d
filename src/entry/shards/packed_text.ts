import {deflateRawSync, inflateRawSync} from 'node:zlib';

/** Shorter texts are stored uncompressed, as compression saves little. */
const MINIMUM_PACKED_CHARACTERS = 200;

/** Level 6 saves less than a tenth more and takes up to twice the time. */
const COMPRESSION_LEVEL = 1;

/**
 * Prefix of each packed text. It also identifies the dictionary: another
 * dictionary needs another prefix, and this pair must be kept to read the texts
 * that are already in the store.
 */
const PACKED_PREFIX = 'z1:';

/** Typical text of a small append; the most frequent strings come last. */
const DICTIONARY = Buffer.from(
  '"],[2,17000,"done"]],,0,1,3,0,0,"[5,17000,[3,17000,[1,17000,{"team":"",' +
    '"name":"","kind":"watcher","kind":"batch","urgency":"urgent",' +
    '"urgency":"normal","taskKind":"","size":{"milliprocessors":1000,' +
    '"memoryMegabytes":1000,"accelerators":0},"taskCount":1,' +
    '"expectedRunMillis":60000,"payload":"{}","idempotent":true,' +
    '"maximumFailures":3}],"best fit of 1 VMs with room","{"names":["',
);

/**
 * Returns the text as it is stored: compressed if that makes it shorter or if
 * the text itself begins with the prefix of packed texts.
 */
export function packText(text: string): string {
  if (text.length < MINIMUM_PACKED_CHARACTERS && !isPacked(text)) return text;
  const options = {level: COMPRESSION_LEVEL, dictionary: DICTIONARY};
  const packed =
    PACKED_PREFIX + deflateRawSync(text, options).toString('base64');
  return packed.length < text.length || isPacked(text) ? packed : text;
}

/**
 * Returns the original of a stored text; an uncompressed text is returned
 * unchanged. Throws if a packed text is damaged.
 */
export function unpackText(stored: string): string {
  if (!isPacked(stored)) return stored;
  const deflated = Buffer.from(stored.slice(PACKED_PREFIX.length), 'base64');
  return inflateRawSync(deflated, {dictionary: DICTIONARY}).toString();
}

function isPacked(text: string): boolean {
  return text.startsWith(PACKED_PREFIX);
}
