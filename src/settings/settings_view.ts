import {
  DEFAULT_FLEET_SETTINGS,
  branchFile,
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

/** What a process knows of one branch. */
interface BranchState {
  /** The newest text without faults. */
  readonly inForce?: SettingsDocument;
  /** A newer text that has faults. */
  readonly rejected?: SettingsDocument;
}

/**
 * The settings in force in one process. A branch only ever moves to a newer
 * revision. A text with faults is passed on to other processes, which may know
 * more keys, and leaves the one before it in force here.
 */
export class SettingsView {
  private readonly states = new Map<string, BranchState>();
  private readonly teams = new Map<string, TeamSettings>();
  /** Undefined until it is asked for after a change. */
  private servicesByName?: ReadonlyMap<string, ServiceSettings>;
  private fleetSettings = DEFAULT_FLEET_SETTINGS;
  private confirmedRevision = 0;
  private confirmedAt = -Infinity;

  /** The store's revision up to which all changes are applied here. */
  get revision(): number {
    return this.confirmedRevision;
  }

  get fleet(): FleetSettings {
    return this.fleetSettings;
  }

  /** Puts a text in force if it is newer than the branch's last one. */
  apply(document: SettingsDocument): ApplyResult {
    const state = this.states.get(document.branch);
    if (document.revision <= seenRevision(state)) return 'older';
    const faults = this.read(document);
    if (faults) {
      const rejected = document;
      this.states.set(document.branch, {inForce: state?.inForce, rejected});
      return {faults};
    }
    this.states.set(document.branch, {inForce: document});
    return 'applied';
  }

  /**
   * Notes that a read of the store, `ageMillis` before `now`, found no changes
   * after the revision. All documents up to it must have been applied.
   */
  confirm(revision: number, now: number, ageMillis: number): void {
    this.confirmedRevision = Math.max(this.confirmedRevision, revision);
    this.confirmedAt = Math.max(this.confirmedAt, now - ageMillis);
  }

  /** Milliseconds since the settings were confirmed; Infinity if never. */
  confirmedAgeMillis(now: number): number {
    return now - this.confirmedAt;
  }

  /** The team's settings; the defaults when it has no branch. */
  team(name: string): TeamSettings {
    return this.teams.get(name) ?? defaultTeamSettings(name);
  }

  /** The service's settings; undefined when no team's branch mentions it. */
  service(name: string): ServiceSettings | undefined {
    return this.services.get(name);
  }

  /** Faults of a team's text that takes services of other teams. */
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

  /** The names of all branches that have a text, in order. */
  branches(): string[] {
    return [...this.states.keys()].sort();
  }

  /** The text that is in force; undefined for a branch without one. */
  document(branch: string): SettingsDocument | undefined {
    return this.states.get(branch)?.inForce;
  }

  /** Texts newer than the revision, ascending; only of the branches if given. */
  documentsNewerThan(
    revision: number,
    branches?: Iterable<string>,
  ): SettingsDocument[] {
    const names = new Set(branches ?? this.states.keys());
    const newer: SettingsDocument[] = [];
    for (const name of names) {
      const state = this.states.get(name);
      for (const document of [state?.inForce, state?.rejected]) {
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

  /** Takes over the settings of a text; returns its faults if it has any. */
  private read(
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

/** Services by name; of two teams that claim one, the first in order has it. */
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
    file: branchFile(branch),
    section: `service ${service}`,
    key: '',
    message: `The service belongs to team ${owner}.`,
    accepted: '',
    line: 0,
  };
}

function seenRevision(state: BranchState | undefined): number {
  return state?.rejected?.revision ?? state?.inForce?.revision ?? 0;
}
