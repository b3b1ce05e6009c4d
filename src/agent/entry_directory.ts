import type {EntryAddress} from '../protocol/generated/burdockmoor.js';
import {EntryChannel} from './entry_channel.js';
import type {EntryChannelOptions} from './entry_channel.js';

/** Time after the last reply that named an entry until it is removed. */
const ENTRY_RETENTION_MILLIS = 30_000;

/** Time without a reply from named entries before configured ones are used. */
const USE_CONFIGURED_AFTER_MILLIS = 3_000;

/**
 * The entries that an agent sends heartbeats to: those named in replies, and
 * the configured ones while none of the named entries replies.
 */
export class EntryDirectory {
  private readonly channels = new Map<string, EntryChannel>();
  /** Time of the last reply that named an entry, by address. */
  private readonly namedAt = new Map<string, number>();

  constructor(
    private readonly configuredAddresses: readonly string[],
    private readonly options: EntryChannelOptions,
  ) {}

  /** Records the entries that a reply named. */
  recordEntries(entries: readonly EntryAddress[], now: number): void {
    for (const entry of entries) this.namedAt.set(entry.address, now);
  }

  /** Returns the channels in use; opens and closes connections to match. */
  refreshChannels(now: number): EntryChannel[] {
    this.removeExpired(now);
    const addresses = this.addressesInUse(now);
    for (const [address, channel] of this.channels) {
      if (addresses.has(address)) continue;
      this.channels.delete(address);
      channel.close('the entry is no longer in use');
    }
    for (const address of addresses) this.open(address);
    return [...this.channels.values()];
  }

  /** Returns the channel to the entry whose replies have this id. */
  findByEntryId(entryId: string): EntryChannel | undefined {
    for (const channel of this.channels.values()) {
      if (channel.entryId === entryId) return channel;
    }
    return undefined;
  }

  hasAnyRepliedWithin(now: number, withinMillis: number): boolean {
    for (const channel of this.channels.values()) {
      if (channel.hasRepliedWithin(now, withinMillis)) return true;
    }
    return false;
  }

  /** Returns the addresses of the entries in use. */
  addresses(): string[] {
    return [...this.channels.keys()];
  }

  close(reason: string): void {
    for (const channel of this.channels.values()) channel.close(reason);
    this.channels.clear();
  }

  private addressesInUse(now: number): Set<string> {
    const addresses = new Set(this.namedAt.keys());
    if (this.hasNamedEntryReplied(now)) return addresses;
    for (const address of this.configuredAddresses) addresses.add(address);
    return addresses;
  }

  private hasNamedEntryReplied(now: number): boolean {
    for (const address of this.namedAt.keys()) {
      const channel = this.channels.get(address);
      if (channel?.hasRepliedWithin(now, USE_CONFIGURED_AFTER_MILLIS))
        return true;
    }
    return false;
  }

  private removeExpired(now: number): void {
    for (const [address, time] of this.namedAt) {
      if (now - time > ENTRY_RETENTION_MILLIS) this.namedAt.delete(address);
    }
  }

  private open(address: string): void {
    if (this.channels.has(address)) return;
    this.channels.set(address, new EntryChannel(address, this.options));
  }
}
