import type {
  ExchangePeersReply,
  ExchangePeersRequest,
} from '../../protocol/generated/burdockmoor.js';
import type {EntryLink, LinkFactory} from '../../protocol/links.js';
import type {SettingsView} from '../../settings/settings_view.js';
import type {SettingsDocument} from '../../settings/settings_types.js';
import type {Clock} from '../../utilities/clock.js';
import {settingsAgeMillis} from '../settings_age.js';
import type {EntryRoster} from './entry_roster.js';
import type {ProcessStatuses} from './process_statuses.js';

interface PeerLink {
  readonly address: string;
  readonly link: EntryLink;
}

/**
 * Exchanges settings with the other entries. An entry that can't reach the
 * store gets the newest settings from those that can.
 */
export class PeerExchange {
  private readonly links = new Map<string, PeerLink>();
  private readonly waiting = new Set<string>();

  constructor(
    private readonly options: {
      readonly entryId: string;
      readonly roster: EntryRoster;
      readonly settings: SettingsView;
      readonly statuses: ProcessStatuses;
      readonly links: LinkFactory;
      readonly clock: Clock;
      readonly apply: (documents: readonly SettingsDocument[]) => void;
    },
  ) {}

  /** Asks every other entry once; never rejects. */
  async exchange(): Promise<void> {
    const {roster, entryId} = this.options;
    const others = roster.all().filter(entry => entry.entryId !== entryId);
    this.closeLeft(new Set(others.map(entry => entry.entryId)));
    await Promise.all(
      others.map(entry => this.ask(entry.entryId, entry.processAddress)),
    );
  }

  /** Answers the question of another entry with the settings that it lacks. */
  answer(request: ExchangePeersRequest): ExchangePeersReply {
    const {settings, entryId, statuses, clock} = this.options;
    const now = clock.now();
    statuses.notePeer(request.entryId, request.settingsRevision, now);
    return {
      entryId,
      settingsRevision: settings.revision,
      settingsAgeMillis: settingsAgeMillis(settings, clock.now()),
      settings: settings.documentsNewerThan(request.settingsRevision),
      processes: [],
    };
  }

  /** Closes the links to the other entries. */
  close(reason: string): void {
    for (const {link} of this.links.values()) link.close(reason);
    this.links.clear();
  }

  private async ask(peerId: string, address: string): Promise<void> {
    const {settings, entryId, statuses, clock, apply} = this.options;
    if (this.waiting.has(peerId)) return;
    this.waiting.add(peerId);
    const sentAt = clock.now();
    try {
      const reply = await this.linkTo(peerId, address).exchangePeers({
        entryId,
        settingsRevision: settings.revision,
        settingsAgeMillis: settingsAgeMillis(settings, clock.now()),
      });
      statuses.notePeer(peerId, reply.settingsRevision, clock.now());
      if (reply.settingsRevision < settings.revision) return;
      apply(reply.settings);
      const ageMillis = reply.settingsAgeMillis + (clock.now() - sentAt);
      settings.confirm(reply.settingsRevision, clock.now(), ageMillis);
    } catch {
      // Peers come and go; the roster tells which are still there.
    } finally {
      this.waiting.delete(peerId);
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
