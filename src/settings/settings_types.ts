import type {Resources} from '../utilities/resources.js';

/** The settings as the processes use them, parsed and checked. */

/** The operators' own branch. */
export const FLEET_BRANCH = 'fleet';

export const Urgency = {URGENT: 'urgent', NORMAL: 'normal'} as const;
export type Urgency = (typeof Urgency)[keyof typeof Urgency];

/** The longest task lease that settings may ask for. */
export const MAXIMUM_TASK_LEASE_MILLIS = 30_000;

/** One accepted text of a branch. */
export interface SettingsDocument {
  readonly branch: string;
  /** The store's revision of the write that accepted the text. */
  readonly revision: number;
  /** Counts the changes of the branch from 1. */
  readonly version: number;
  readonly text: string;
}

/** The operators' branch, defaults filled in. */
export interface FleetSettings {
  readonly failureDomainsOut: ReadonlySet<string>;
  readonly drainedVms: ReadonlySet<string>;
  /** How long an attempt outlives the last word of its shard's owner. */
  readonly taskLeaseMillis: number;
  /** An agent whose settings are confirmed less recently starts no task. */
  readonly settingsFreshMillis: number;
  readonly heartbeatMillis: number;
  /** Share of requests that may be retries or hedges. */
  readonly retryBudgetShare: number;
  /** Share of a service's upstreams that may be ejected at a time. */
  readonly maximumEjectedShare: number;
}

export interface ServiceSettings {
  readonly name: string;
  readonly team: string;
  readonly targetTailMillis: number;
  readonly defaultDeadlineMillis: number;
  /** Requests a second that one entry admits; 0 is no limit. */
  readonly requestsPerSecond: number;
  /** Methods whose requests may be repeated. */
  readonly idempotentMethods: ReadonlySet<string>;
}

/** A team's branch, defaults filled in. */
export interface TeamSettings {
  readonly team: string;
  readonly quota: Resources;
  readonly quotaRunningTasks: number;
  /** Share against other teams when the fleet is full. */
  readonly weight: number;
  readonly defaultUrgency: Urgency;
  readonly services: ReadonlyMap<string, ServiceSettings>;
}
