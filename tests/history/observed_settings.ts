import type {AgentSettings} from '../../src/agent/agent_context.js';
import type {SettingsDocument} from '../../src/settings/settings_types.js';
import type {
  ApplyResult,
  SettingsView,
} from '../../src/settings/settings_view.js';
import type {History} from './history.js';
import type {ProcessClock} from './process_clock.js';

/** An agent's settings, with a record of each revision that is in force. */
export class ObservedSettings implements AgentSettings {
  private lastRevision = -1;

  constructor(
    private readonly view: SettingsView,
    private readonly options: {
      readonly process: string;
      readonly run: number;
      readonly history: History;
      readonly clock: ProcessClock;
    },
  ) {}

  get revision(): number {
    return this.view.revision;
  }

  get fleet(): SettingsView['fleet'] {
    return this.view.fleet;
  }

  service(name: string): ReturnType<SettingsView['service']> {
    return this.view.service(name);
  }

  apply(document: SettingsDocument): ApplyResult {
    return this.view.apply(document);
  }

  confirm(revision: number, now: number, ageMillis: number): void {
    this.view.confirm(revision, now, ageMillis);
    if (this.view.revision === this.lastRevision) return;
    this.lastRevision = this.view.revision;
    const {process, run, history} = this.options;
    const inForce = this.view.revision;
    history.record({type: 'settingsInForce', process, run, revision: inForce});
  }

  confirmedAgeMillis(now: number): number {
    return this.view.confirmedAgeMillis(now);
  }
}
