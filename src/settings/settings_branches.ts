import {
  FLEET_SCHEMA,
  TEAM_SCHEMA,
  failureDomainSection,
  settingsAgeSection,
  heartbeatsSection,
  jobsSection,
  leasesSection,
  quotaSection,
  requestsSection,
  serviceSection,
  shareSection,
  vmSection,
} from './branch_schemas.js';
import {withBooleanKey} from './ini_edit.js';
import type {SettingsFault} from './settings_fault.js';
import {NAME_ACCEPTED, isName} from './settings_keys.js';
import {ValidatedSettings, validateSettings} from './settings_schema.js';
import {FLEET_BRANCH} from './settings_types.js';
import type {
  FleetSettings,
  ServiceSettings,
  TeamSettings,
} from './settings_types.js';

/** Parses and edits the texts of settings branches. */

const MILLIS_PER_SECOND = 1000;
const MILLIPROCESSORS_PER_PROCESSOR = 1000;
const PERCENT = 100;

export type BranchResult<Settings> =
  | {readonly settings: Settings; readonly faults?: undefined}
  | {
      readonly settings?: undefined;
      readonly faults: readonly SettingsFault[];
    };

/** Returns the file name by which errors refer to a branch. */
export function branchFileName(branch: string): string {
  return `settings/${branch}`;
}

/** Parses the text of the operators' branch. */
export function parseFleetSettings(text: string): BranchResult<FleetSettings> {
  const result = validateSettings(
    branchFileName(FLEET_BRANCH),
    text,
    FLEET_SCHEMA,
  );
  if (result.faults) return result;
  return {settings: fleetOf(result.settings)};
}

/** Parses the text of a team's branch; the branch has the team's name. */
export function parseTeamSettings(
  branch: string,
  text: string,
): BranchResult<TeamSettings> {
  const result = validateSettings(branchFileName(branch), text, TEAM_SCHEMA);
  if (!isTeamName(branch)) {
    return {faults: [branchNameFault(branch), ...(result.faults ?? [])]};
  }
  if (result.faults) return result;
  return {settings: teamOf(branch, result.settings)};
}

/** Returns the errors in the text of a branch of either kind. */
export function branchFaults(
  branch: string,
  text: string,
): readonly SettingsFault[] {
  const result =
    branch === FLEET_BRANCH
      ? parseFleetSettings(text)
      : parseTeamSettings(branch, text);
  return result.faults ?? [];
}

/** True if a team may have the name. */
export function isTeamName(name: string): boolean {
  return name !== FLEET_BRANCH && isName(name);
}

/** Returns the text with the failure domain out of or back in service. */
export function withFailureDomainOut(
  text: string,
  name: string,
  out: boolean,
): string {
  const header = `${failureDomainSection.name} ${name}`;
  return withBooleanKey(text, header, 'out', out);
}

/** Returns the text with the drain of the VM started or ended. */
export function withVmDrain(
  text: string,
  vm: string,
  drained: boolean,
): string {
  return withBooleanKey(text, `${vmSection.name} ${vm}`, 'drain', drained);
}

/** Returns the settings of a team that has no branch. */
export function defaultTeamSettings(team: string): TeamSettings {
  return teamOf(team, new ValidatedSettings(new Map()));
}

function fleetOf(checked: ValidatedSettings): FleetSettings {
  const domains = checked.namedSections(failureDomainSection);
  const vms = checked.namedSections(vmSection);
  const leases = checked.section(leasesSection);
  const fresh = checked.section(settingsAgeSection);
  const heartbeats = checked.section(heartbeatsSection);
  const requests = checked.section(requestsSection);
  return {
    failureDomainsOut: namesWhere(domains, domain => domain.out),
    drainedVms: namesWhere(vms, vm => vm.drain),
    taskLeaseMillis: leases.task_lease_seconds * MILLIS_PER_SECOND,
    maximumSettingsAgeMillis: fresh.fresh_seconds * MILLIS_PER_SECOND,
    heartbeatMillis: heartbeats.period_milliseconds,
    retryBudgetShare: requests.retry_budget_percent / PERCENT,
    maximumEjectedShare: requests.maximum_ejected_percent / PERCENT,
  };
}

function teamOf(team: string, checked: ValidatedSettings): TeamSettings {
  const quota = checked.section(quotaSection);
  const services = new Map<string, ServiceSettings>();
  for (const [name, values] of checked.namedSections(serviceSection)) {
    services.set(name, serviceOf(name, team, values));
  }
  return {
    team,
    quota: {
      milliprocessors: Math.round(
        quota.processors * MILLIPROCESSORS_PER_PROCESSOR,
      ),
      memoryMegabytes: quota.memory_megabytes,
      accelerators: quota.accelerators,
    },
    quotaRunningTasks: quota.running_tasks,
    weight: checked.section(shareSection).weight,
    defaultUrgency: checked.section(jobsSection).default_urgency,
    services,
  };
}

type ServiceValues = ReturnType<
  typeof ValidatedSettings.prototype.section<typeof serviceSection.keys>
>;

function serviceOf(
  name: string,
  team: string,
  values: ServiceValues,
): ServiceSettings {
  return {
    name,
    team,
    targetTailMillis: values.target_tail_milliseconds,
    defaultDeadlineMillis: values.default_deadline_milliseconds,
    requestsPerSecond: values.requests_per_second,
    idempotentMethods: new Set(values.idempotent_methods),
  };
}

function namesWhere<Values>(
  sections: ReadonlyMap<string, Values>,
  isSelected: (values: Values) => boolean,
): Set<string> {
  const matching = [...sections].filter(([, values]) => isSelected(values));
  return new Set(matching.map(([name]) => name));
}

function branchNameFault(branch: string): SettingsFault {
  return {
    file: branchFileName(branch),
    section: '',
    key: '',
    message: 'The name of the branch is not a valid team name.',
    accepted: `${FLEET_BRANCH}, or a team's name: ${NAME_ACCEPTED}`,
    line: 0,
  };
}

/** The fleet's settings while the operators' branch doesn't exist. */
export const DEFAULT_FLEET_SETTINGS: FleetSettings = fleetOf(
  new ValidatedSettings(new Map()),
);
