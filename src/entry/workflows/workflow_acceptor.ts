import {StoreRefusedError} from '../../backends/platform_errors.js';
import type {StoredValue} from '../../backends/store.js';
import type {
  TransactionalStore,
  TransactionResult,
} from '../../backends/transactional_store.js';
import type {AdmissionRefusal} from '../../decisions/workflows/admission/admission_policy.js';
import {
  decodeEnded,
  decodeRefusal,
  encodeEnded,
  encodeSpec,
  isRefusal,
  isTombstone,
} from '../../decisions/workflows/workflow_codec.js';
import {WorkflowState} from '../../decisions/workflows/workflow_types.js';
import type {WorkflowSpec} from '../../decisions/workflows/workflow_types.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Clock} from '../../utilities/clock.js';
import {withDeadline} from '../../utilities/deadline.js';
import type {AdmissionControl} from './admission_control.js';
import type {OwnerClient} from './owner_client.js';
import {
  newWorkflowKey,
  refusedKey,
  specKey,
} from '../../protocol/store_keys.js';
import type {StoreHealth} from './store_health.js';

/** Result of a submission or a cancellation. */
export const Acceptance = {
  STORED: 'stored',
  /** It is guaranteed not to be stored, now or later. */
  REFUSED: 'refused',
  /** It has no value now; guaranteed not to be stored unless sent again. */
  DEFERRED: 'deferred',
  /** It may be stored, now or a little later. */
  UNKNOWN: 'unknown',
  /** There is no such workflow. */
  ABSENT: 'absent',
} as const;
export type Acceptance = (typeof Acceptance)[keyof typeof Acceptance];

/** Result of a submission. */
export interface SubmissionResult {
  readonly acceptance: Acceptance;
  /** Present if the workflow was refused because the pool is too full. */
  readonly retryAfterSeconds?: number;
}

export interface WorkflowAcceptorOptions {
  readonly store: TransactionalStore;
  readonly health: StoreHealth;
  readonly owner: OwnerClient;
  /** Undefined if admission control is off. */
  readonly admission?: AdmissionControl;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Time for the store to respond before the caller is told that the result is
 * unknown: well above slow responses, and well below callers' deadlines.
 */
const STORE_TIMEOUT_MILLIS = 900;

/** A submission whose caller may still wait for the response. */
interface OpenCall {
  isAnswered: boolean;
}

/** A refusal that counts once it is stored. */
interface DecidedRefusal {
  readonly spec: WorkflowSpec;
  readonly refusal: AdmissionRefusal;
  readonly admission: AdmissionControl;
  readonly call: OpenCall;
}

/**
 * Stores workflows. Any entry may do so: the key of a
 * workflow can be created only once, whichever entry receives a repeated request.
 */
export class WorkflowAcceptor {
  constructor(private readonly options: WorkflowAcceptorOptions) {}

  /** Resolves at the latest a second after the call. */
  async submit(spec: WorkflowSpec): Promise<SubmissionResult> {
    const {id} = spec;
    if (this.options.health.isUnavailable)
      return {acceptance: this.refuse(id, 'the store is unavailable')};
    const call: OpenCall = {isAnswered: false};
    const {admission} = this.options;
    const refusal = admission?.findRefusal(spec);
    const stored =
      admission && refusal
        ? this.storeRefusal({spec, refusal, admission, call})
        : this.store(spec, call);
    const acceptance = await this.withTimeout(id, stored);
    call.isAnswered = true;
    return refusal && acceptance === Acceptance.DEFERRED
      ? {acceptance, retryAfterSeconds: refusal.retryAfterSeconds}
      : {acceptance};
  }

  private async withTimeout(
    id: string,
    stored: Promise<Acceptance>,
  ): Promise<Acceptance> {
    const {clock} = this.options;
    const acceptance = await withDeadline(clock, STORE_TIMEOUT_MILLIS, stored);
    return (
      acceptance ?? this.reportUnknown(id, 'the store did not respond in time')
    );
  }

  /**
   * Continues after the deadline of the caller's response, so that the owner is
   * still notified.
   */
  private async store(spec: WorkflowSpec, call: OpenCall): Promise<Acceptance> {
    const {clock} = this.options;
    const {id} = spec;
    const sentAt = clock.now();
    try {
      const result = await this.writeSpec(spec, 0);
      const refused = storedRefusal(result);
      if (refused) return await this.replaceRefusal(spec, refused, call);
      return this.recordStored(spec, result.succeeded, sentAt);
    } catch (error) {
      const reason = messageOf(error);
      if (error instanceof StoreRefusedError) return this.refuse(id, reason);
      return this.readBack(spec, reason);
    }
  }

  /** Stores only the end of a workflow that was cancelled before. */
  private async storeCancelled(
    spec: WorkflowSpec,
    tombstone: StoredValue,
  ): Promise<Acceptance> {
    const {store, health, clock} = this.options;
    const {id} = spec;
    const sentAt = clock.now();
    const ended = encodeEnded({
      state: WorkflowState.CANCELLED,
      endedAtMillis: clock.wallTime(),
    });
    const write = store.transact({
      conditions: [{key: specKey(id), revision: tombstone.revision}],
      puts: [
        {key: specKey(id), value: ended},
        {key: newWorkflowKey(id), value: ''},
      ],
    });
    const result = await health.track(write);
    if (!result.succeeded && result.current.length === 0)
      return this.refuse(id, 'its cancellation has just been forgotten');
    return this.recordStored(spec, false, sentAt);
  }

  /**
   * Stores the workflow in place of its refusal. A caller that was told that the
   * result is unknown may meanwhile have been refused by another entry, so this
   * is done only while the caller waits, and not for a refusal that has changed.
   */
  private async replaceRefusal(
    spec: WorkflowSpec,
    refused: StoredValue,
    call: OpenCall,
  ): Promise<Acceptance> {
    const {id} = spec;
    if (isTombstone(refused.value)) return this.storeCancelled(spec, refused);
    if (call.isAnswered) return Acceptance.UNKNOWN;
    const sentAt = this.options.clock.now();
    const result = await this.writeSpec(spec, refused.revision);
    if (result.succeeded) this.options.admission?.recordReturn(id);
    const isStored = result.succeeded || result.current.length > 0;
    if (!isStored || storedRefusal(result))
      return this.refuse(id, 'another entry refuses it at the same time');
    return this.recordStored(spec, result.succeeded, sentAt);
  }

  /** Writes the workflow if its key has the revision. */
  private writeSpec(
    spec: WorkflowSpec,
    revision: number,
  ): Promise<TransactionResult> {
    const {store, health} = this.options;
    const {id} = spec;
    const write = store.transact({
      conditions: [{key: specKey(id), revision}],
      puts: [
        {key: specKey(id), value: encodeSpec(spec)},
        {key: newWorkflowKey(id), value: ''},
      ],
      ...(revision > 0 && {removals: [refusedKey(id)]}),
    });
    return health.track(write);
  }

  private recordStored(
    spec: WorkflowSpec,
    isNew: boolean,
    sentAt: number,
  ): Acceptance {
    const {clock, logger, owner, admission} = this.options;
    const {id, queue, steps} = spec;
    logger.event(Events.WORKFLOW_ACCEPTED, {
      workflow: id,
      queue,
      isRepeated: !isNew,
      tasks: steps.reduce((sum, step) => sum + step.count, 0),
      milliprocessors: steps.reduce(
        (sum, {count, size}) => sum + count * size.milliprocessors,
        0,
      ),
      tookMillis: Math.round(clock.now() - sentAt),
    });
    if (isNew) owner.notifyAccepted(spec);
    admission?.forget(id);
    return Acceptance.STORED;
  }

  /**
   * Stores a refusal in place of the workflow, so that a write of the workflow
   * that arrives later fails on its condition.
   */
  private async storeRefusal(decided: DecidedRefusal): Promise<Acceptance> {
    const {spec, admission, call} = decided;
    const {id} = spec;
    try {
      const acceptance = await this.tryStoreRefusal(decided);
      if (acceptance !== undefined) return acceptance;
      admission.recordUnstored(id, 'another entry decides about it');
    } catch (error) {
      const reason = messageOf(error);
      admission.recordUnstored(id, reason);
      if (!(error instanceof StoreRefusedError))
        return this.reportUnknown(id, reason);
    }
    return call.isAnswered ? Acceptance.UNKNOWN : this.store(spec, call);
  }

  /** Resolves to undefined if the key has changed meanwhile. */
  private async tryStoreRefusal(
    decided: DecidedRefusal,
  ): Promise<Acceptance | undefined> {
    const {spec, refusal, admission, call} = decided;
    const sentAt = this.options.clock.now();
    const record = admission.recordOf(refusal);
    let result = await this.writeRefusal(spec.id, record, 0);
    const earlier = storedRefusal(result);
    if (earlier && isTombstone(earlier.value))
      return this.storeCancelled(spec, earlier);
    if (earlier) {
      if (admission.acceptsReturn(spec, decodeRefusal(earlier.value)))
        return this.replaceRefusal(spec, earlier, call);
      // The write of an accepted retry may be on its way, on the condition that
      // the earlier refusal is unchanged.
      result = await this.writeRefusal(spec.id, record, earlier.revision);
    }
    if (call.isAnswered) return Acceptance.UNKNOWN;
    if (result.succeeded) {
      admission.recordRefusal(spec, refusal);
      return Acceptance.DEFERRED;
    }
    const isStored = result.current.length > 0 && !storedRefusal(result);
    return isStored ? this.recordStored(spec, false, sentAt) : undefined;
  }

  /** Writes a refusal if the key of the workflow has the revision. */
  private writeRefusal(
    id: string,
    record: string,
    revision: number,
  ): Promise<TransactionResult> {
    const {store, health} = this.options;
    const write = store.transact({
      conditions: [{key: specKey(id), revision}],
      puts: [
        {key: specKey(id), value: record},
        {key: refusedKey(id), value: ''},
      ],
    });
    return health.track(write);
  }

  private refuse(id: string, reason: string): Acceptance {
    this.options.logger.event(Events.WORKFLOW_REFUSED, {workflow: id, reason});
    return Acceptance.REFUSED;
  }

  private reportUnknown(id: string, reason: string): Acceptance {
    const fields = {workflow: id, reason};
    this.options.logger.event(Events.WORKFLOW_UNDECIDED, fields);
    return Acceptance.UNKNOWN;
  }

  /** Reads the workflow back after a write whose result is unknown. */
  private async readBack(
    spec: WorkflowSpec,
    reason: string,
  ): Promise<Acceptance> {
    const {store, health, owner} = this.options;
    const {id} = spec;
    try {
      const storedSpec = await health.track(store.get(specKey(id)));
      if (!storedSpec || isRefusal(storedSpec.value))
        return this.reportUnknown(id, reason);
      if (!decodeEnded(storedSpec.value)) owner.notifyAccepted(spec);
      return Acceptance.STORED;
    } catch (error) {
      return this.reportUnknown(id, messageOf(error));
    }
  }
}

/** Returns the refusal for which a condition on a workflow's key failed. */
function storedRefusal({
  succeeded,
  current,
}: TransactionResult): StoredValue | undefined {
  if (succeeded) return undefined;
  return current.find(({value}) => isRefusal(value));
}
