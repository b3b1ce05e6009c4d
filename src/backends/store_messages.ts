import type {StoreChange, StoredValue} from './store.js';

/** The JSON messages of the store, with the fields that are used. */

export interface StoreKeyValue {
  readonly key: string;
  readonly value?: string;
  readonly mod_revision?: string;
}

export interface StoreHeader {
  readonly revision?: string;
}

export interface RangeReply {
  readonly header?: StoreHeader;
  readonly kvs?: readonly StoreKeyValue[];
  readonly more?: boolean;
}

export interface TransactionReply {
  readonly header?: StoreHeader;
  readonly succeeded?: boolean;
  readonly responses?: ReadonlyArray<{readonly response_range?: RangeReply}>;
}

export interface LeaseReply {
  readonly ID?: string;
  readonly TTL?: string;
}

export interface KeepAliveReply {
  readonly result?: LeaseReply;
}

export interface WatchEvent {
  readonly type?: string;
  readonly kv: StoreKeyValue;
}

export interface WatchReply {
  readonly result?: {
    readonly header?: StoreHeader;
    readonly created?: boolean;
    readonly canceled?: boolean;
    readonly cancel_reason?: string;
    readonly compact_revision?: string;
    readonly events?: readonly WatchEvent[];
  };
  readonly error?: {readonly message?: string};
}

export function encodeText(text: string | Buffer): string {
  return Buffer.from(text as string).toString('base64');
}

export function decodeText(encoded: string | undefined): string {
  return Buffer.from(encoded ?? '', 'base64').toString();
}

/** Returns the first key after all keys with the prefix; `\0` means no end. */
export function endOfPrefix(prefix: string): Buffer {
  const bytes = Buffer.from(prefix);
  for (let index = bytes.length - 1; index >= 0; index--) {
    if (bytes[index] === 0xff) continue;
    const end = Buffer.from(bytes.subarray(0, index + 1));
    end[index]++;
    return end;
  }
  return Buffer.from([0]);
}

export function toRevision(header: StoreHeader | undefined): number {
  return Number(header?.revision ?? 0);
}

export function toStoredValue(message: StoreKeyValue): StoredValue {
  return {
    key: decodeText(message.key),
    value: decodeText(message.value),
    revision: Number(message.mod_revision ?? 0),
  };
}

export function toChange(event: WatchEvent): StoreChange {
  const {key, value, revision} = toStoredValue(event.kv);
  if (event.type === 'DELETE') return {key, revision};
  return {key, value, revision};
}
