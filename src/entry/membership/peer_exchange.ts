import type {
  ExchangePeersReply,
  ExchangePeersRequest,
} from '../../protocol/generated/burdockmoor.js';
import type {EntryLink, LinkFactory} from '../../protocol/links.js';
import type {SettingsView} from '../../settings/settings_view.js';
import type {SettingsDocument} from '../../settings/settings_types.js';
import type {Clock} from '../../utilities/clock.js';
import {settingsAgeMillis} from '../settings_age.js';
import type {EntryRecord} from './entry_registry.js';
import type {KnownEntries} from './known_entries.js';
import type {ProcessStatuses} from './process_statuses.js';

interface PeerLink {
  readonly address: string;
  readonly link: EntryLink;
}

/**
 * Exchanges settings with the other entries. An entry that can't reach the
 * store gets the newest settings from those that can, and one that knows no
 * other entry contacts the addresses in its own settings file.
 */
export class PeerExchange {
  private readonly links = new Map<string, PeerLink>();
  private readonly inFlight = new Set<string>();

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

  /** Sends one request to every other entry; never rejects. */
  async exchange(): Promise<void> {
    const targets = this.findTargets();
    this.closeUnusedLinks(new Set(targets.keys()));
    const exchanges = [...targets].map(([id, address]) =>
      this.exchangeWith(id, address),
    );
    await Promise.all(exchanges);
  }

  /** Answers the request of another entry with the settings that it lacks. */
  answer(request: ExchangePeersRequest): ExchangePeersReply {
    const {settings, record, entries, statuses, clock} = this.options;
    const now = clock.now();
    statuses.recordPeer(request.entryId, request.settingsRevision, now);
    if (request.sender) entries.recordSender(request.sender, now);
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

  /**
   * Returns the addresses to contact, by entry id; an address of the settings
   * file is its own key, as the id of its entry is unknown.
   */
  private findTargets(): Map<string, string> {
    const {entries, clock, addresses} = this.options;
    const targets = new Map<string, string>();
    for (const {entryId, processAddress} of entries.others(clock.now())) {
      targets.set(entryId, processAddress);
    }
    if (targets.size > 0) return targets;
    for (const address of addresses) targets.set(address, address);
    return targets;
  }

  private async exchangeWith(peerId: string, address: string): Promise<void> {
    const {settings, record, clock} = this.options;
    if (this.inFlight.has(peerId)) return;
    this.inFlight.add(peerId);
    const sentAt = clock.now();
    try {
      const reply = await this.getOrOpenLink(peerId, address).exchangePeers({
        entryId: record.entryId,
        settingsRevision: settings.revision,
        settingsAgeMillis: settingsAgeMillis(settings, sentAt),
        sender: record,
      });
      this.applyReply(reply, sentAt);
    } catch {
      // Peers may leave at any time; the registry shows which ones remain.
    } finally {
      this.inFlight.delete(peerId);
    }
  }

  private applyReply(reply: ExchangePeersReply, sentAt: number): void {
    const {settings, record, statuses, clock, apply} = this.options;
    // A load balancer's address may lead back to this entry.
    if (reply.entryId === record.entryId) return;
    const now = clock.now();
    this.recordEntries(reply, now);
    statuses.recordPeer(reply.entryId, reply.settingsRevision, now);
    if (reply.settingsRevision < settings.revision) return;
    apply(reply.settings);
    const ageMillis = reply.settingsAgeMillis + (now - sentAt);
    settings.confirm(reply.settingsRevision, now, ageMillis);
  }

  private recordEntries(reply: ExchangePeersReply, now: number): void {
    const {entries} = this.options;
    for (const record of reply.entries) {
      if (record.entryId === reply.entryId) entries.recordSender(record, now);
      else entries.recordMention(record, now);
    }
  }

  private getOrOpenLink(peerId: string, address: string): EntryLink {
    const known = this.links.get(peerId);
    if (known?.address === address) return known.link;
    known?.link.close('the address of the entry changed');
    const link = this.options.links.openEntry(address);
    this.links.set(peerId, {address, link});
    return link;
  }

  private closeUnusedLinks(peerIds: ReadonlySet<string>): void {
    for (const [peerId, {link}] of this.links) {
      if (peerIds.has(peerId)) continue;
      link.close('the entry is no longer known');
      this.links.delete(peerId);
    }
  }
}
