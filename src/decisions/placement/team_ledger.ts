import type {TeamSettings} from '../../settings/settings_types.js';
import {
  NO_RESOURCES,
  addResources,
  fitsInto,
  subtractResources,
} from '../../utilities/resources.js';
import type {Resources} from '../../utilities/resources.js';

interface TeamUse {
  settings: TeamSettings | undefined;
  used: Resources;
  runningTasks: number;
  /** Negative if it has to be recomputed. */
  share: number;
}

const UNKNOWN_SHARE = -1;

/** Tracks resources reserved by each team's open attempts against its quota. */
export class TeamLedger {
  private readonly teams = new Map<string, TeamUse>();
  private capacity: Resources = NO_RESOURCES;

  setTeam(settings: TeamSettings): void {
    const use = this.use(settings.team);
    use.settings = settings;
    use.share = UNKNOWN_SHARE;
  }

  /** Sets the fleet capacity from which shares are computed. */
  setCapacity(capacity: Resources): void {
    if (isEqual(this.capacity, capacity)) return;
    this.capacity = capacity;
    for (const use of this.teams.values()) use.share = UNKNOWN_SHARE;
  }

  add(team: string, size: Resources): void {
    const use = this.use(team);
    use.used = addResources(use.used, size);
    use.runningTasks++;
    use.share = UNKNOWN_SHARE;
  }

  remove(team: string, size: Resources): void {
    const use = this.use(team);
    use.used = subtractResources(use.used, size);
    use.runningTasks--;
    use.share = UNKNOWN_SHARE;
  }

  /** True if one more task of the size stays within the team's quota. */
  allows(team: string, size: Resources): boolean {
    const {settings, used, runningTasks} = this.use(team);
    if (!settings) return true;
    if (runningTasks >= settings.quotaRunningTasks) return false;
    return fitsInto(addResources(used, size), settings.quota);
  }

  /** True if a single task of the size is within the team's quota. */
  couldEverAllow(team: string, size: Resources): boolean {
    const {settings} = this.use(team);
    if (!settings) return true;
    return settings.quotaRunningTasks > 0 && fitsInto(size, settings.quota);
  }

  /** Returns the team's dominant share of the fleet, divided by its weight. */
  share(team: string): number {
    const use = this.use(team);
    if (use.share < 0) use.share = this.computeShare(use);
    return use.share;
  }

  dump(): object {
    const teams: Record<string, object> = {};
    for (const [team, {used, runningTasks}] of this.teams) {
      teams[team] = {used, runningTasks, share: this.share(team)};
    }
    return teams;
  }

  private computeShare({settings, used}: TeamUse): number {
    const {milliprocessors, memoryMegabytes, accelerators} = this.capacity;
    const dominant = Math.max(
      used.milliprocessors / Math.max(1, milliprocessors),
      used.memoryMegabytes / Math.max(1, memoryMegabytes),
      used.accelerators / Math.max(1, accelerators),
    );
    return dominant / Math.max(settings?.weight ?? 1, Number.EPSILON);
  }

  private use(team: string): TeamUse {
    let use = this.teams.get(team);
    if (!use) {
      use = {
        settings: undefined,
        used: NO_RESOURCES,
        runningTasks: 0,
        share: UNKNOWN_SHARE,
      };
      this.teams.set(team, use);
    }
    return use;
  }
}

function isEqual(left: Resources, right: Resources): boolean {
  return fitsInto(left, right) && fitsInto(right, left);
}
