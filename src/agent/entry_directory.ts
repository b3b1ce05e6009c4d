import type {EntryAddress} from '../protocol/generated/burdockmoor.js';
import {EntryChannel} from './entry_channel.js';
import type {EntryChannelOptions} from './entry_channel.js';

/** An entry that no reply named for so long is forgotten. */
const FORGET_ENTRY_MILLIS = 30_000;

/** Without a word from a named entry for so long, the settings' are asked. */
const ASK_CONFIGURED_AFTER_MILLIS = 3_000;

/**
 * The entries that an agent talks to: those that replies named, and those of
 * its settings while none of the former answers.
 */
export class EntryDirectory {
  private readonly channels = new Map<string, EntryChannel>();
  /** Addresses that replies named, with the time of the last such reply. */
  private readonly namedAt = new Map<string, number>();

  constructor(
    private readonly configured: readonly string[],
    private readonly options: EntryChannelOptions,
  ) {}

  /** Takes in the entries that a reply named. */
  takeIn(entries: readonly EntryAddress[], now: number): void {
    for (const entry of entries) this.namedAt.set(entry.address, now);
  }

  /** The channels to use now; opens and closes connections to match. */
  current(now: number): EntryChannel[] {
    this.forgetOld(now);
    const addresses = this.wantedAddresses(now);
    for (const [address, channel] of this.channels) {
      if (addresses.has(address)) continue;
      this.channels.delete(address);
      channel.close('the entry is gone');
    }
    for (const address of addresses) this.open(address);
    return [...this.channels.values()];
  }

  /** The channel of an entry, by the id that it answered with. */
  byEntryId(entryId: string): EntryChannel | undefined {
    for (const channel of this.channels.values()) {
      if (channel.entryId === entryId) return channel;
    }
    return undefined;
  }

  isAnyHeard(now: number, withinMillis: number): boolean {
    for (const channel of this.channels.values()) {
      if (channel.isHeard(now, withinMillis)) return true;
    }
    return false;
  }

  /** The addresses of the entries in use. */
  addresses(): string[] {
    return [...this.channels.keys()];
  }

  close(reason: string): void {
    for (const channel of this.channels.values()) channel.close(reason);
    this.channels.clear();
  }

  private wantedAddresses(now: number): Set<string> {
    const addresses = new Set(this.namedAt.keys());
    if (this.isNamedEntryHeard(now)) return addresses;
    for (const address of this.configured) addresses.add(address);
    return addresses;
  }

  private isNamedEntryHeard(now: number): boolean {
    for (const address of this.namedAt.keys()) {
      const channel = this.channels.get(address);
      if (channel?.isHeard(now, ASK_CONFIGURED_AFTER_MILLIS)) return true;
    }
    return false;
  }

  private forgetOld(now: number): void {
    for (const [address, at] of this.namedAt) {
      if (now - at > FORGET_ENTRY_MILLIS) this.namedAt.delete(address);
    }
  }

  private open(address: string): void {
    if (this.channels.has(address)) return;
    this.channels.set(address, new EntryChannel(address, this.options));
  }
}
