import type {RequestLimiter} from '../../decisions/admission/request_limiter.js';
import type {SettingsView} from '../../settings/settings_view.js';

/** Applies the request limits in the settings to the request limiter. */
export class ServiceLimits {
  private teamByService: ReadonlyMap<string, string> = new Map();

  constructor(private readonly limiter: RequestLimiter) {}

  /** Sets all limits, and removes those of services no longer configured. */
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
    for (const [name, team] of this.teamByService) {
      if (teams.get(name) !== team) this.limiter.setLimit(team, name, 0, now);
    }
    this.teamByService = teams;
  }
}
