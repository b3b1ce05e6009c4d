import type {Resources} from '../utilities/resources.js';

/** Parsed and validated settings, as the processes use them. */

/** Name of the operators' branch. */
export const FLEET_BRANCH = 'fleet';

export const Urgency = {URGENT: 'urgent', NORMAL: 'normal'} as const;
export type Urgency = (typeof Urgency)[keyof typeof Urgency];

/** Maximum task lease that settings may specify. */
export const MAXIMUM_TASK_LEASE_MILLIS = 30_000;

/** A version of the text of a branch that was accepted. */
export interface SettingsDocument {
  readonly branch: string;
  /** Store revision of the write that stored the text. */
  readonly revision: number;
  /** Number of the version, counted from 1 within the branch. */
  readonly version: number;
  readonly text: string;
}

/** Settings of the operators' branch, including defaults. */
export interface FleetSettings {
  readonly failureDomainsOut: ReadonlySet<string>;
  readonly drainedVms: ReadonlySet<string>;
  /** Time an attempt keeps running after its shard owner's last message. */
  readonly taskLeaseMillis: number;
  /** An agent with settings that were confirmed longer ago starts no task. */
  readonly maximumSettingsAgeMillis: number;
  readonly heartbeatMillis: number;
  /** Maximum share of requests that may be retries or hedges. */
  readonly retryBudgetShare: number;
  /** Maximum share of a service's upstreams that may be ejected at a time. */
  readonly maximumEjectedShare: number;
}

export interface ServiceSettings {
  readonly name: string;
  readonly team: string;
  readonly targetTailMillis: number;
  readonly defaultDeadlineMillis: number;
  /** Requests per second that one entry admits; 0 means no limit. */
  readonly requestsPerSecond: number;
  /** Methods whose requests may be retried. */
  readonly idempotentMethods: ReadonlySet<string>;
}

/** Settings of a team's branch, including defaults. */
export interface TeamSettings {
  readonly team: string;
  readonly quota: Resources;
  readonly quotaRunningTasks: number;
  /** Share relative to the other teams when the fleet is full. */
  readonly weight: number;
  readonly defaultUrgency: Urgency;
  readonly services: ReadonlyMap<string, ServiceSettings>;
}
