import type {RequestLimiter} from '../../decisions/admission/request_limiter.js';
import type {SettingsView} from '../../settings/settings_view.js';

/** Keeps the limits of services equal to the settings in force. */
export class ServiceLimits {
  private teams: ReadonlyMap<string, string> = new Map();

  constructor(private readonly limiter: RequestLimiter) {}

  /** Sets all limits, and removes those of services no longer mentioned. */
  apply(settings: SettingsView, now: number): void {
    const teams = new Map<string, string>();
    for (const branch of settings.branches()) {
      for (const name of settings.team(branch).services.keys()) {
        const service = settings.service(name);
        if (service?.team !== branch) continue;
        teams.set(name, branch);
        const {requestsPerSecond} = service;
        this.limiter.setLimit(branch, name, requestsPerSecond, now);
      }
    }
    for (const [name, team] of this.teams) {
      if (teams.get(name) !== team) this.limiter.setLimit(team, name, 0, now);
    }
    this.teams = teams;
  }
}
