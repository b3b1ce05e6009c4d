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

/** The settings as an agent uses them. */
export interface AgentSettings {
  /** All changes up to this revision of the store are applied. */
  readonly revision: number;
  readonly fleet: FleetSettings;
  service(name: string): ServiceSettings | undefined;
  apply(document: SettingsDocument): ApplyResult;
  /** A read of the store confirmed the revision, that long before `now`. */
  confirm(revision: number, now: number, ageMillis: number): void;
  confirmedAgeMillis(now: number): number;
}

/** The executor beside the agent and what is set aside for it. */
export interface ExecutorConfiguration {
  readonly service: string;
  readonly team: string;
  readonly slots: number;
  readonly connections: number;
  readonly reserved: Resources;
}

/** Who the agent is. */
export interface AgentIdentity {
  readonly agentId: string;
  /** Distinguishes the runs of an agent. */
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly rack: string;
  /** Where other processes reach the agent. */
  readonly address: string;
}

/** What the parts of an agent share. */
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
  /** What the worker last answered; undefined until it first did. */
  workerStatus: WorkerStatus | undefined;
  workerStatusAt: number;
  /** A graceful shutdown has begun. */
  stopping: boolean;
}

/** Holder of the executor's share in the ledger. */
export const EXECUTOR_HOLDER = 'executor';

/** A worker that was silent for so long is asked to start nothing. */
const WORKER_SILENT_MILLIS = 3_000;

/** Whether the agent still has to find out what its worker runs. */
export function isRecovering(context: AgentContext): boolean {
  return context.workerStatus === undefined;
}

export function isWorkerSilent(context: AgentContext): boolean {
  const silentMillis = context.clock.now() - context.workerStatusAt;
  return isRecovering(context) || silentMillis > WORKER_SILENT_MILLIS;
}

/** Whether the operators took this VM or its failure domain out. */
export function isFailureDomainOut(context: AgentContext): boolean {
  const {failureDomain} = context.identity;
  return context.settings.fleet.failureDomainsOut.has(failureDomain);
}

export function isDrained(context: AgentContext): boolean {
  const {agentId} = context.identity;
  return context.stopping || context.settings.fleet.drainedVms.has(agentId);
}
