import type {
  ExchangePeersReply,
  ExchangePeersRequest,
} from '../../protocol/generated/burdockmoor.js';
import type {EntryLink, LinkFactory} from '../../protocol/links.js';
import type {SettingsView} from '../../settings/settings_view.js';
import type {SettingsDocument} from '../../settings/settings_types.js';
import type {Clock} from '../../utilities/clock.js';
import {settingsAgeMillis} from '../settings_age.js';
import type {EntryRecord} from './entry_roster.js';
import type {KnownEntries} from './known_entries.js';
import type {ProcessStatuses} from './process_statuses.js';

interface PeerLink {
  readonly address: string;
  readonly link: EntryLink;
}

/**
 * Exchanges settings with the other entries. An entry that can't reach the
 * store gets the newest settings from those that can, and one that knows no
 * other asks at the addresses of its own settings file.
 */
export class PeerExchange {
  private readonly links = new Map<string, PeerLink>();
  private readonly waiting = new Set<string>();

  constructor(
    private readonly options: {
      readonly record: EntryRecord;
      /** HOST:PORT each. */
      readonly addresses: readonly string[];
      readonly entries: KnownEntries;
      readonly settings: SettingsView;
      readonly statuses: ProcessStatuses;
      readonly links: LinkFactory;
      readonly clock: Clock;
      readonly apply: (documents: readonly SettingsDocument[]) => void;
    },
  ) {}

  /** Asks every other entry once; never rejects. */
  async exchange(): Promise<void> {
    const targets = this.targets();
    this.closeLeft(new Set(targets.keys()));
    const asked = [...targets].map(([id, address]) => this.ask(id, address));
    await Promise.all(asked);
  }

  /** Answers the question of another entry with the settings that it lacks. */
  answer(request: ExchangePeersRequest): ExchangePeersReply {
    const {settings, record, entries, statuses, clock} = this.options;
    const now = clock.now();
    statuses.notePeer(request.entryId, request.settingsRevision, now);
    if (request.sender) entries.noteHeard(request.sender, now);
    return {
      entryId: record.entryId,
      settingsRevision: settings.revision,
      settingsAgeMillis: settingsAgeMillis(settings, now),
      settings: settings.documentsNewerThan(request.settingsRevision),
      processes: [],
      entries: [...entries.all(now)],
    };
  }

  /** Closes the links to the other entries. */
  close(reason: string): void {
    for (const {link} of this.links.values()) link.close(reason);
    this.links.clear();
  }

  /** Addresses to ask, by the id of the entry or, without one, by themselves. */
  private targets(): Map<string, string> {
    const {entries, clock, addresses} = this.options;
    const targets = new Map<string, string>();
    for (const {entryId, processAddress} of entries.others(clock.now())) {
      targets.set(entryId, processAddress);
    }
    if (targets.size > 0) return targets;
    for (const address of addresses) targets.set(address, address);
    return targets;
  }

  private async ask(peerId: string, address: string): Promise<void> {
    const {settings, record, clock} = this.options;
    if (this.waiting.has(peerId)) return;
    this.waiting.add(peerId);
    const sentAt = clock.now();
    try {
      const reply = await this.linkTo(peerId, address).exchangePeers({
        entryId: record.entryId,
        settingsRevision: settings.revision,
        settingsAgeMillis: settingsAgeMillis(settings, sentAt),
        sender: record,
      });
      this.takeIn(reply, sentAt);
    } catch {
      // Peers come and go; the roster tells which are still there.
    } finally {
      this.waiting.delete(peerId);
    }
  }

  private takeIn(reply: ExchangePeersReply, sentAt: number): void {
    const {settings, record, statuses, clock, apply} = this.options;
    // Behind a balancer's address there may be this very entry.
    if (reply.entryId === record.entryId) return;
    const now = clock.now();
    this.noteEntries(reply, now);
    statuses.notePeer(reply.entryId, reply.settingsRevision, now);
    if (reply.settingsRevision < settings.revision) return;
    apply(reply.settings);
    const ageMillis = reply.settingsAgeMillis + (now - sentAt);
    settings.confirm(reply.settingsRevision, now, ageMillis);
  }

  private noteEntries(reply: ExchangePeersReply, now: number): void {
    const {entries} = this.options;
    for (const record of reply.entries) {
      if (record.entryId === reply.entryId) entries.noteHeard(record, now);
      else entries.noteNamed(record, now);
    }
  }

  private linkTo(peerId: string, address: string): EntryLink {
    const known = this.links.get(peerId);
    if (known?.address === address) return known.link;
    known?.link.close('the entry moved');
    const link = this.options.links.openEntry(address);
    this.links.set(peerId, {address, link});
    return link;
  }

  private closeLeft(living: ReadonlySet<string>): void {
    for (const [peerId, {link}] of this.links) {
      if (living.has(peerId)) continue;
      link.close('the entry left');
      this.links.delete(peerId);
    }
  }
}
