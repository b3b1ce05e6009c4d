import {Events} from '../../observability/events.js';
import type {HeartbeatReply} from '../../protocol/generated/burdockmoor.js';
import type {SettingsDocument} from '../../settings/settings_types.js';
import type {AgentContext} from '../agent_context.js';
import type {EntryDirectory} from '../entry_directory.js';
import type {HeartbeatSender} from '../heartbeat_sender.js';
import type {LeaseKeeper} from '../lease_keeper.js';

/** Applies replies to heartbeats: entries, settings and leases. */
export class HeartbeatReplies {
  constructor(
    private readonly context: AgentContext,
    private readonly directory: EntryDirectory,
    private readonly heartbeats: HeartbeatSender,
    private readonly leaseKeeper: LeaseKeeper,
  ) {}

  /** Ages and leases count from when the heartbeat was sent. */
  applyReply(reply: HeartbeatReply, sentAt: number): void {
    const {clock, settings} = this.context;
    const now = clock.now();
    this.directory.recordEntries(reply.entries, now);
    for (const document of reply.settings) this.apply(document);
    settings.confirm(reply.settingsRevision, sentAt, reply.settingsAgeMillis);
    const {entryId} = reply;
    const endsAt = sentAt + reply.leaseMillis;
    const leases = reply.leases.map(lease => ({...lease, entryId, endsAt}));
    this.leaseKeeper.applyLeases(leases, now);
    this.heartbeats.notifyReply();
  }

  private apply(document: SettingsDocument): void {
    const {logger, settings} = this.context;
    const {branch, revision} = document;
    const result = settings.apply(document);
    if (result === 'older') return;
    if (result === 'applied') {
      logger.event(Events.SETTINGS_APPLIED, {branch, revision});
      return;
    }
    const faults = result.faults.map(fault => fault.message).join('; ');
    logger.event(Events.SETTINGS_REJECTED, {branch, revision, faults});
  }
}
