import {Events} from '../observability/events.js';
import type {EventType} from '../observability/events.js';
import {fitsInto} from '../utilities/resources.js';
import {isRecovering} from './agent_context.js';
import type {AgentContext} from './agent_context.js';
import type {EntryDirectory} from './entry_directory.js';

/** Without a word from any entry for so long, they count as lost. */
const ENTRIES_LOST_MILLIS = 5_000;

/** A condition that is logged when it begins and when it ends. */
interface Alarm {
  readonly begins: EventType;
  readonly ends: EventType | undefined;
  readonly holds: (now: number) => boolean;
  raised: boolean;
}

/** Logs when conditions that operators should know of begin and end. */
export class AgentAlarms {
  private readonly alarms: Alarm[];

  constructor(
    private readonly context: AgentContext,
    private readonly directory: EntryDirectory,
  ) {
    this.alarms = [
      {
        begins: Events.SETTINGS_STALE,
        ends: Events.SETTINGS_FRESH,
        holds: now => this.areSettingsStale(now),
        raised: true,
      },
      {
        begins: Events.ENTRIES_LOST,
        ends: Events.ENTRIES_FOUND,
        holds: now => !this.directory.isAnyHeard(now, ENTRIES_LOST_MILLIS),
        raised: true,
      },
      {
        begins: Events.VM_OVERCOMMITTED,
        ends: undefined,
        holds: () => this.isOvercommitted(),
        raised: false,
      },
    ];
  }

  tick(now: number): void {
    for (const alarm of this.alarms) {
      const holds = alarm.holds(now);
      if (holds === alarm.raised) continue;
      alarm.raised = holds;
      const type = holds ? alarm.begins : alarm.ends;
      if (type) this.context.logger.event(type, {});
    }
  }

  private areSettingsStale(now: number): boolean {
    const {settings} = this.context;
    const {settingsFreshMillis} = settings.fleet;
    return settings.confirmedAgeMillis(now) > settingsFreshMillis;
  }

  private isOvercommitted(): boolean {
    if (isRecovering(this.context)) return false;
    const {committed, capacity} = this.context.ledger;
    return !fitsInto(committed, capacity);
  }
}
