import {Events} from '../../observability/events.js';
import type {EventType} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {FleetSettings} from '../../settings/settings_types.js';
import type {ProcessStatus} from '../membership/process_statuses.js';

/** Changed settings should be in force in every process within this time. */
const SETTINGS_TARGET_MILLIS = 15_000;

/** A revision that a process should have in force, and since when. */
interface ExpectedRevision {
  readonly revision: number;
  readonly since: number;
  readonly isLate: boolean;
}

/** Logs failure domains and VMs taken out or back, and lagging processes. */
export class SettingsAlarms {
  private domainsOut: ReadonlySet<string> = new Set();
  private vmsDrained: ReadonlySet<string> = new Set();
  private readonly expected = new Map<string, ExpectedRevision>();

  constructor(private readonly logger: Logger) {}

  /** Logs the changes since the fleet settings that were applied before. */
  applyFleetSettings(fleet: FleetSettings): void {
    const {failureDomainsOut, drainedVms} = fleet;
    for (const failureDomain of added(this.domainsOut, failureDomainsOut)) {
      this.logger.event(Events.FAILURE_DOMAIN_OUT, {failureDomain});
    }
    for (const failureDomain of added(failureDomainsOut, this.domainsOut)) {
      this.logger.event(Events.FAILURE_DOMAIN_IN, {failureDomain});
    }
    for (const vm of added(this.vmsDrained, drainedVms)) {
      this.logger.event(Events.VM_DRAINED, {vm});
    }
    for (const vm of added(drainedVms, this.vmsDrained)) {
      this.logger.event(Events.VM_UNDRAINED, {vm});
    }
    this.domainsOut = failureDomainsOut;
    this.vmsDrained = drainedVms;
  }

  /** Logs processes that lag behind the revision, and those that caught up. */
  check(
    processes: readonly ProcessStatus[],
    revision: number,
    now: number,
  ): void {
    const ids = new Set(processes.map(status => status.processId));
    for (const id of this.expected.keys()) {
      if (!ids.has(id)) this.expected.delete(id);
    }
    for (const status of processes) this.checkProcess(status, revision, now);
  }

  private checkProcess(
    status: ProcessStatus,
    revision: number,
    now: number,
  ): void {
    const {processId, settingsRevision} = status;
    const expected = this.expected.get(processId);
    if (!expected) {
      if (settingsRevision >= revision) return;
      this.expected.set(processId, {revision, since: now, isLate: false});
      return;
    }
    if (settingsRevision >= expected.revision) {
      this.expected.delete(processId);
      if (expected.isLate) this.log(Events.PROCESS_SETTINGS_CAUGHT_UP, status);
      return;
    }
    if (expected.isLate || now - expected.since < SETTINGS_TARGET_MILLIS) {
      return;
    }
    this.expected.set(processId, {...expected, isLate: true});
    this.log(Events.PROCESS_SETTINGS_LAG, status);
  }

  private log(event: EventType, status: ProcessStatus): void {
    const {processId, role, settingsRevision} = status;
    this.logger.event(event, {lagging: processId, role, settingsRevision});
  }
}

function added(
  before: ReadonlySet<string>,
  after: ReadonlySet<string>,
): string[] {
  return [...after].filter(name => !before.has(name));
}
