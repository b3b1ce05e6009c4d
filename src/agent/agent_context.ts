import type {CapacityLedger} from '../decisions/capacity/capacity_ledger.js';
import type {Logger} from '../observability/logger.js';
import type {Worker, WorkerStatus} from '../backends/worker.js';
import type {
  FleetSettings,
  ServiceSettings,
  SettingsDocument,
} from '../settings/settings_types.js';
import type {ApplyResult} from '../settings/settings_view.js';
import type {Clock} from '../utilities/clock.js';
import type {Random} from '../utilities/random.js';
import type {Resources} from '../utilities/resources.js';
import type {AttemptTable} from './attempt_table.js';
import type {ClosedAttempts} from './closed_attempts.js';
import type {ShardLeases} from './shard_leases.js';
import type {WorkerClock} from './worker_clock.js';

/** The settings of an agent. */
export interface AgentSettings {
  /** Revision of the store up to which all changes are applied. */
  readonly revision: number;
  readonly fleet: FleetSettings;
  service(name: string): ServiceSettings | undefined;
  apply(document: SettingsDocument): ApplyResult;
  /** Records that a store read `ageMillis` before `now` had this revision. */
  confirm(revision: number, now: number, ageMillis: number): void;
  confirmedAgeMillis(now: number): number;
}

/** The executor beside the agent and the resources reserved for it. */
export interface ExecutorConfiguration {
  readonly service: string;
  readonly team: string;
  readonly slots: number;
  readonly connections: number;
  readonly reserved: Resources;
}

/** Identity of an agent. */
export interface AgentIdentity {
  readonly agentId: string;
  /** Distinguishes the process runs of an agent. */
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly rack: string;
  /** Address at which other processes reach the agent. */
  readonly address: string;
}

/** State and services that the components of an agent share. */
export interface AgentContext {
  readonly identity: AgentIdentity;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly worker: Worker;
  readonly settings: AgentSettings;
  readonly ledger: CapacityLedger;
  readonly attempts: AttemptTable;
  readonly closed: ClosedAttempts;
  readonly leases: ShardLeases;
  readonly workerClock: WorkerClock;
  /** Last status from the worker; undefined until the first arrives. */
  workerStatus: WorkerStatus | undefined;
  workerStatusAt: number;
  /** True once a graceful shutdown has begun. */
  stopping: boolean;
}

/** Holder name of the resources reserved for the executor in the ledger. */
export const EXECUTOR_HOLDER = 'executor';

/** Time without a status after which the worker is sent no starts. */
const WORKER_SILENT_AFTER_MILLIS = 3_000;

/** True until the worker's first status tells which tasks it runs. */
export function isRecovering(context: AgentContext): boolean {
  return context.workerStatus === undefined;
}

export function isWorkerSilent(context: AgentContext): boolean {
  const silentMillis = context.clock.now() - context.workerStatusAt;
  return isRecovering(context) || silentMillis > WORKER_SILENT_AFTER_MILLIS;
}

/** True if operators took this VM's failure domain out of service. */
export function isFailureDomainOut(context: AgentContext): boolean {
  const {failureDomain} = context.identity;
  return context.settings.fleet.failureDomainsOut.has(failureDomain);
}

export function isDrained(context: AgentContext): boolean {
  const {agentId} = context.identity;
  return context.stopping || context.settings.fleet.drainedVms.has(agentId);
}
