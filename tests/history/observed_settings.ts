import {SettingsView} from '../../src/settings/settings_view.js';
import type {History} from './history.js';

/** An agent's settings, with a record of each revision that is in force. */
export class ObservedSettings extends SettingsView {
  private lastRevision = -1;

  constructor(
    private readonly process: string,
    private readonly run: number,
    private readonly history: History,
  ) {
    super();
  }

  override confirm(revision: number, now: number, ageMillis: number): void {
    super.confirm(revision, now, ageMillis);
    if (this.revision === this.lastRevision) return;
    this.lastRevision = this.revision;
    const {process, run, revision: inForce, history} = this;
    history.record({type: 'settingsInForce', process, run, revision: inForce});
  }
}
