import {
  DEFAULT_FLEET_SETTINGS,
  branchFileName,
  defaultTeamSettings,
  parseFleetSettings,
  parseTeamSettings,
} from './settings_branches.js';
import type {SettingsFault} from './settings_fault.js';
import {FLEET_BRANCH} from './settings_types.js';
import type {
  FleetSettings,
  ServiceSettings,
  SettingsDocument,
  TeamSettings,
} from './settings_types.js';

export type ApplyResult =
  'applied' | 'older' | {readonly faults: readonly SettingsFault[]};

/** Texts of one branch that a process has received. */
interface BranchState {
  /** The newest valid text. */
  readonly applied?: SettingsDocument;
  /** A newer text that is invalid. */
  readonly rejected?: SettingsDocument;
}

/**
 * The settings in effect in one process. A branch only ever moves to a newer
 * revision. An invalid text is forwarded to other processes, which may know
 * more keys; in this process the last valid text stays in effect.
 */
export class SettingsView {
  private readonly states = new Map<string, BranchState>();
  private readonly teams = new Map<string, TeamSettings>();
  /** Cached until a team's settings change; computed on the next read. */
  private servicesByName?: ReadonlyMap<string, ServiceSettings>;
  private fleetSettings = DEFAULT_FLEET_SETTINGS;
  private confirmedRevision = 0;
  private confirmedAt = -Infinity;

  /** Store revision up to which all changes are applied in this process. */
  get revision(): number {
    return this.confirmedRevision;
  }

  get fleet(): FleetSettings {
    return this.fleetSettings;
  }

  /** Applies a text if it is newer than the last one of the branch. */
  apply(document: SettingsDocument): ApplyResult {
    const state = this.states.get(document.branch);
    if (document.revision <= lastRevision(state)) return 'older';
    const faults = this.applyText(document);
    if (faults) {
      const rejected = document;
      this.states.set(document.branch, {applied: state?.applied, rejected});
      return {faults};
    }
    this.states.set(document.branch, {applied: document});
    return 'applied';
  }

  /**
   * Records that a read of the store, `ageMillis` before `now`, found no
   * changes after the revision. All documents up to it must be applied before.
   */
  confirm(revision: number, now: number, ageMillis: number): void {
    this.confirmedRevision = Math.max(this.confirmedRevision, revision);
    this.confirmedAt = Math.max(this.confirmedAt, now - ageMillis);
  }

  /** Returns the milliseconds since the last confirmation; Infinity if none. */
  confirmedAgeMillis(now: number): number {
    return now - this.confirmedAt;
  }

  /** Returns the team's settings; the defaults if the team has no branch. */
  team(name: string): TeamSettings {
    return this.teams.get(name) ?? defaultTeamSettings(name);
  }

  /** Returns the service's settings; undefined if no branch has the service. */
  service(name: string): ServiceSettings | undefined {
    return this.services.get(name);
  }

  /** Returns an error for each service in the text that another team owns. */
  ownershipFaults(branch: string, text: string): SettingsFault[] {
    if (branch === FLEET_BRANCH) return [];
    const {settings} = parseTeamSettings(branch, text);
    const faults: SettingsFault[] = [];
    for (const name of settings?.services.keys() ?? []) {
      const owner = this.services.get(name)?.team ?? branch;
      if (owner !== branch) faults.push(ownershipFault(branch, name, owner));
    }
    return faults;
  }

  /** Returns the names of all branches that have a text, sorted. */
  branches(): string[] {
    return [...this.states.keys()].sort();
  }

  /** Returns the text that is in effect; undefined if the branch has none. */
  document(branch: string): SettingsDocument | undefined {
    return this.states.get(branch)?.applied;
  }

  /** Returns texts newer than the revision, ascending; by default of all. */
  documentsNewerThan(
    revision: number,
    branches?: Iterable<string>,
  ): SettingsDocument[] {
    const names = new Set(branches ?? this.states.keys());
    const newer: SettingsDocument[] = [];
    for (const name of names) {
      const state = this.states.get(name);
      for (const document of [state?.applied, state?.rejected]) {
        if (!document || document.revision <= revision) continue;
        newer.push(document);
      }
    }
    return newer.sort((left, right) => left.revision - right.revision);
  }

  private get services(): ReadonlyMap<string, ServiceSettings> {
    this.servicesByName ??= servicesOf(this.teams);
    return this.servicesByName;
  }

  /** Applies the settings of a text, or returns the errors of the text. */
  private applyText(
    document: SettingsDocument,
  ): readonly SettingsFault[] | undefined {
    if (document.branch === FLEET_BRANCH) {
      const result = parseFleetSettings(document.text);
      if (result.faults) return result.faults;
      this.fleetSettings = result.settings;
      return undefined;
    }
    const result = parseTeamSettings(document.branch, document.text);
    if (result.faults) return result.faults;
    this.teams.set(document.branch, result.settings);
    this.servicesByName = undefined;
    return undefined;
  }
}

/** Returns the services by name; the first team by name keeps a duplicate. */
function servicesOf(
  teams: ReadonlyMap<string, TeamSettings>,
): Map<string, ServiceSettings> {
  const services = new Map<string, ServiceSettings>();
  for (const name of [...teams.keys()].sort()) {
    for (const service of teams.get(name)!.services.values()) {
      if (services.has(service.name)) continue;
      services.set(service.name, service);
    }
  }
  return services;
}

function ownershipFault(
  branch: string,
  service: string,
  owner: string,
): SettingsFault {
  return {
    file: branchFileName(branch),
    section: `service ${service}`,
    key: '',
    message: `The service belongs to team ${owner}.`,
    accepted: '',
    line: 0,
  };
}

function lastRevision(state: BranchState | undefined): number {
  return state?.rejected?.revision ?? state?.applied?.revision ?? 0;
}
