import type {TransactionalStore} from '../../backends/transactional_store.js';
import type {SchedulingFeatures} from '../../decisions/workflows/scheduling_features.js';
import {decodeSpec} from '../../decisions/workflows/workflow_codec.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {Metrics} from '../../observability/metrics.js';
import type {
  CountWaitingReply,
  CountWaitingRequest,
  ExplainPlacementReply,
  ExplainPlacementRequest,
  FindOwnerReply,
  NoteWorkflowReply,
  NoteWorkflowRequest,
  ShowWorkflowReply,
  ShowWorkflowRequest,
  WorkerCommands,
  WorkerUpdate,
} from '../../protocol/generated/burdockmoor.js';
import type {
  Attachment,
  AttachmentListener,
  PoolHandlers,
  PoolLinkFactory,
} from '../../protocol/pool_links.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Clock} from '../../utilities/clock.js';
import {pause} from '../../utilities/pause.js';
import type {ApiResponse, ApiCall} from '../http/api_types.js';
import {AdmissionControl} from './admission_control.js';
import {ConfigurationFollower} from './configuration_follower.js';
import type {OperatorDocuments} from './configuration_follower.js';
import {ExplanationClient} from './explanation_client.js';
import {ExplanationStatus} from './explanation_result.js';
import type {
  ExplainedWorkflow,
  ExplanationResult,
} from './explanation_result.js';
import {OwnerClient} from './owner_client.js';
import {PoolOwner} from './pool_owner.js';
import {OWNER_TTL_MILLIS, PoolOwnership} from './pool_ownership.js';
import {encodeRecord} from '../../protocol/owner_record.js';
import {entryKey} from '../../protocol/store_keys.js';
import {StoreHealth} from './store_health.js';
import {WorkflowAcceptor} from './workflow_acceptor.js';
import {WorkflowApi} from './workflow_api.js';
import {WorkflowCanceller} from './workflow_canceller.js';
import type {CallerDocuments, StoreRates} from './workflow_api.js';

const REGISTRATION_RETRY_MILLIS = 500;
/** Limits until a configuration was read. */
const DEFAULT_BODY_BYTES = 1_048_576;
const DEFAULT_HEADER_BYTES = 16_384;

export interface PoolEntryOptions {
  readonly processName: string;
  /** HOST:PORT for calls between processes. */
  readonly address: string;
  /** Share of an owner's load that the machine can handle, from 0 to 1. */
  readonly capacity: number;
  /** Unique for each run of the process. */
  readonly nonce: string;
  readonly store: TransactionalStore;
  readonly links: PoolLinkFactory;
  readonly operatorDocuments: OperatorDocuments;
  readonly callerDocuments: CallerDocuments;
  readonly runLeaseMillis: number;
  /** How long the state of an ended workflow is kept. */
  readonly retentionMillis: number;
  readonly features: SchedulingFeatures;
  /** Rates of the store for all processes together. */
  readonly storeRates?: StoreRates;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** An entry of the fleet: serves callers' requests, and may own the pool. */
export class PoolEntry implements PoolHandlers {
  private readonly configuration: ConfigurationFollower;
  private readonly ownership: PoolOwnership;
  private readonly ownerClient: OwnerClient;
  private readonly health: StoreHealth;
  private readonly api: WorkflowApi;
  private readonly explanations: ExplanationClient;
  private isStopping = false;

  constructor(private readonly options: PoolEntryOptions) {
    const {store, clock, logger, metrics, processName, address} = options;
    this.health = new StoreHealth(clock);
    this.configuration = new ConfigurationFollower({
      store,
      documents: options.operatorDocuments,
      clock,
      logger,
      onChange: () => this.handleConfigurationChange(),
    });
    this.ownership = new PoolOwnership({
      store,
      health: this.health,
      links: options.links,
      clock,
      logger,
      metrics,
      processName,
      address,
      nonce: options.nonce,
      isEligible: () => this.configuration.table !== undefined,
      createOwner: (claim, onDeposed) =>
        new PoolOwner({
          ...claim,
          store,
          clock,
          logger,
          metrics,
          configuration: this.configuration,
          ownerTtlMillis: OWNER_TTL_MILLIS,
          runLeaseMillis: options.runLeaseMillis,
          retentionMillis: options.retentionMillis,
          features: options.features,
          onDeposed,
        }),
    });
    this.ownerClient = new OwnerClient({
      ownership: this.ownership,
      links: options.links,
      clock,
      logger,
    });
    this.explanations = new ExplanationClient({
      configuration: this.configuration,
      owner: this.ownerClient,
      clock,
    });
    const acceptor = new WorkflowAcceptor({
      store,
      health: this.health,
      owner: this.ownerClient,
      admission: this.createAdmissionControl(),
      clock,
      logger,
    });
    const canceller = new WorkflowCanceller({
      store,
      health: this.health,
      owner: this.ownerClient,
      clock,
      logger,
    });
    this.api = new WorkflowApi({
      configuration: this.configuration,
      acceptor,
      canceller,
      owner: this.ownerClient,
      store,
      health: this.health,
      documents: options.callerDocuments,
      storeRates: options.storeRates,
      clock,
      logger,
    });
  }

  /** True if this entry can serve callers. */
  get isReady(): boolean {
    const isConfigured = this.configuration.table !== undefined;
    return isConfigured && !this.isStopping && !this.health.isUnavailable;
  }

  /** Maximum size of a call's body, as operators have configured it. */
  get maximumBodyBytes(): number {
    const {table} = this.configuration;
    return table?.configuration.maximumBodyBytes ?? DEFAULT_BODY_BYTES;
  }

  /** Maximum size of a call's headers, as operators have configured it. */
  get maximumHeaderBytes(): number {
    const {table} = this.configuration;
    return table?.configuration.maximumHeaderBytes ?? DEFAULT_HEADER_BYTES;
  }

  start(): void {
    this.configuration.start();
    this.ownership.start();
    void this.register();
  }

  /** Stops accepting callers, and hands over the pool. */
  async stop(reason: string): Promise<void> {
    this.isStopping = true;
    await this.ownership.close(reason);
  }

  dispose(reason: string): void {
    this.configuration.close();
    this.ownerClient.close(reason);
    this.options.store.close(reason);
  }

  /** Returns this entry's state for operators to inspect. */
  dumpState(): object {
    const {owner, knownOwner} = this.ownership;
    return {
      processName: this.options.processName,
      isReady: this.isReady,
      isStoreAway: this.health.isUnavailable,
      configurationVersion: this.configuration.table?.configuration.version,
      configurationAgeMillis: Math.round(this.configuration.ageMillis),
      knownOwner,
      pool: owner?.dumpState(),
    };
  }

  /** Asks the owner where the tasks of the workflow would be placed now. */
  explain(workflow: ExplainedWorkflow): Promise<ExplanationResult> {
    return this.explanations.explain(workflow);
  }

  call(call: ApiCall): Promise<ApiResponse> {
    return this.api.handle(call);
  }

  attach(
    attachment: Attachment<WorkerCommands>,
  ): AttachmentListener<WorkerUpdate> {
    const {owner} = this.ownership;
    if (owner) return owner.attach(attachment);
    setImmediate(() => attachment.close('this entry does not own the pool'));
    return {onMessage: () => {}, onEnd: () => {}};
  }

  async findOwner(): Promise<FindOwnerReply> {
    const {knownOwner} = this.ownership;
    return knownOwner
      ? {address: knownOwner.address, epoch: knownOwner.epoch}
      : {address: '', epoch: 0};
  }

  async noteWorkflow(request: NoteWorkflowRequest): Promise<NoteWorkflowReply> {
    const {owner} = this.ownership;
    if (!owner) return {noted: false};
    if (request.cancelled) owner.cancel(request.workflow);
    else owner.addWorkflow(decodeSpec(request.record));
    const {outlook} = owner;
    return outlook ? {noted: true, outlook} : {noted: true};
  }

  async showWorkflow(request: ShowWorkflowRequest): Promise<ShowWorkflowReply> {
    const {owner} = this.ownership;
    if (!owner) return {owned: false, state: ''};
    return {owned: true, state: owner.stateOf(request.workflow) ?? ''};
  }

  async countWaiting(request: CountWaitingRequest): Promise<CountWaitingReply> {
    const {owner} = this.ownership;
    if (!owner) return {owned: false, waiting: 0};
    return {owned: true, waiting: owner.countQueued(request.queue)};
  }

  async explainPlacement({
    record,
  }: ExplainPlacementRequest): Promise<ExplainPlacementReply> {
    const {owner} = this.ownership;
    if (!owner) return {owned: false, explanation: ''};
    const {status, explanation} = owner.explainPlacement(decodeSpec(record));
    return {owned: status !== ExplanationStatus.NO_OWNER, explanation};
  }

  private createAdmissionControl(): AdmissionControl | undefined {
    const {features, clock, logger, metrics} = this.options;
    if (!features.admission) return undefined;
    return new AdmissionControl({
      lastOutlook: () => this.ownerClient.lastOutlook,
      clock,
      logger,
      metrics,
    });
  }

  private handleConfigurationChange(): void {
    this.ownership.notifyEligible();
    this.ownership.owner?.handleConfigurationChange();
  }

  /** Publishes this entry's address; the key does not show that it is alive. */
  private async register(): Promise<void> {
    const {store, processName, address, capacity, logger, clock} = this.options;
    while (!this.isStopping) {
      try {
        const value = encodeRecord({address, capacity});
        const puts = [{key: entryKey(processName), value}];
        await store.transact({conditions: [], puts});
        return;
      } catch (error) {
        const reason = messageOf(error);
        logger.event(Events.REGISTRATION_FAILED, {reason});
      }
      await pause(clock, REGISTRATION_RETRY_MILLIS);
    }
  }
}
