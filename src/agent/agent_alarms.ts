import {Events} from '../observability/events.js';
import type {EventType} from '../observability/events.js';
import {fitsInto} from '../utilities/resources.js';
import {isRecovering} from './agent_context.js';
import type {AgentContext} from './agent_context.js';
import type {EntryDirectory} from './entry_directory.js';

/** Time without a reply from any entry after which they count as lost. */
const ENTRIES_LOST_AFTER_MILLIS = 5_000;

/** A condition that is logged when it begins and when it ends. */
interface Alarm {
  readonly beginEvent: EventType;
  readonly endEvent: EventType | undefined;
  readonly isActive: (now: number) => boolean;
  wasActive: boolean;
}

/** Logs the begin and end of conditions that operators should know about. */
export class AgentAlarms {
  private readonly alarms: Alarm[];

  constructor(
    private readonly context: AgentContext,
    private readonly directory: EntryDirectory,
  ) {
    this.alarms = [
      {
        beginEvent: Events.SETTINGS_STALE,
        endEvent: Events.SETTINGS_FRESH,
        isActive: now => this.areSettingsStale(now),
        wasActive: true,
      },
      {
        beginEvent: Events.ENTRIES_LOST,
        endEvent: Events.ENTRIES_FOUND,
        isActive: now =>
          !this.directory.hasAnyRepliedWithin(now, ENTRIES_LOST_AFTER_MILLIS),
        wasActive: true,
      },
      {
        beginEvent: Events.VM_OVERCOMMITTED,
        endEvent: undefined,
        isActive: () => this.isOvercommitted(),
        wasActive: false,
      },
    ];
  }

  tick(now: number): void {
    for (const alarm of this.alarms) {
      const isActive = alarm.isActive(now);
      if (isActive === alarm.wasActive) continue;
      alarm.wasActive = isActive;
      const type = isActive ? alarm.beginEvent : alarm.endEvent;
      if (type) this.context.logger.event(type, {});
    }
  }

  private areSettingsStale(now: number): boolean {
    const {settings} = this.context;
    const {maximumSettingsAgeMillis} = settings.fleet;
    return settings.confirmedAgeMillis(now) > maximumSettingsAgeMillis;
  }

  private isOvercommitted(): boolean {
    if (isRecovering(this.context)) return false;
    const {committed, capacity} = this.context.ledger;
    return !fitsInto(committed, capacity);
  }
}
