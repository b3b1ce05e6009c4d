import test from 'ava';
import {decodeEntry, decodeOwner} from '../../src/protocol/owner_record.js';

// Guards against an odd record that stops the search for the owner.
const ODD_RECORDS: ReadonlyArray<[name: string, text: string]> = [
  ['an empty address', '{"nonce":"a","address":"","capacity":1}'],
  ['an address that is no text', '{"nonce":"a","address":5,"capacity":1}'],
  ['nothing but nesting', '['.repeat(500_000) + ']'.repeat(500_000)],
  ['bytes that are not JSON', '\u0000{'],
];
for (const [name, text] of ODD_RECORDS) {
  test(`should not decode a record with ${name}`, t => {
    t.is(decodeOwner(text), undefined);
    t.is(decodeEntry(text), undefined);
  });
}

test('should not decode an entry whose capacity is no finite number', t => {
  t.is(decodeEntry('{"address":"10.0.0.1:7","capacity":1e999}'), undefined);
  t.is(decodeEntry('{"address":"10.0.0.1:7","capacity":1}')?.capacity, 1);
});
