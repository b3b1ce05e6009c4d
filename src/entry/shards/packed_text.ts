import {deflateRawSync, inflateRawSync} from 'node:zlib';

/** Below it a text is kept as it is: little is saved. */
const PACK_FROM_CHARACTERS = 200;

/** Level 6 saves less than a tenth more, for up to twice the time. */
const LEVEL = 1;

/**
 * Begins each packed text. It names the dictionary, too: another dictionary
 * needs another mark, and this one has to stay for what is in the store.
 */
const MARK = 'z1:';

/** What an append of a few records consists of; most used parts come last. */
const DICTIONARY = Buffer.from(
  '"],[2,17000,"done"]],,0,1,3,0,0,"[5,17000,[3,17000,[1,17000,{"team":"",' +
    '"name":"","kind":"watcher","kind":"batch","urgency":"urgent",' +
    '"urgency":"normal","taskKind":"","size":{"milliprocessors":1000,' +
    '"memoryMegabytes":1000,"accelerators":0},"taskCount":1,' +
    '"expectedRunMillis":60000,"payload":"{}","idempotent":true,' +
    '"maximumFailures":3}],"best fit of 1 VMs with room","{"names":["',
);

/** The text as the store keeps it: compressed where that is shorter. */
export function packText(text: string): string {
  if (text.length < PACK_FROM_CHARACTERS && !isPacked(text)) return text;
  const options = {level: LEVEL, dictionary: DICTIONARY};
  const packed = MARK + deflateRawSync(text, options).toString('base64');
  return packed.length < text.length || isPacked(text) ? packed : text;
}

/**
 * The text that was packed; one that the store keeps as it is stays as it is.
 * Throws when a packed text is damaged.
 */
export function unpackText(stored: string): string {
  if (!isPacked(stored)) return stored;
  const deflated = Buffer.from(stored.slice(MARK.length), 'base64');
  return inflateRawSync(deflated, {dictionary: DICTIONARY}).toString();
}

function isPacked(text: string): boolean {
  return text.startsWith(MARK);
}
