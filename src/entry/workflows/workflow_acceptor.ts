import {StoreRefusedError} from '../../backends/platform_errors.js';
import type {TransactionalStore} from '../../backends/transactional_store.js';
import {encodeSpec} from '../../decisions/workflows/workflow_codec.js';
import type {WorkflowSpec} from '../../decisions/workflows/workflow_types.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Clock} from '../../utilities/clock.js';
import {withDeadline} from '../../utilities/deadline.js';
import type {OwnerClient} from './owner_client.js';
import {cancelKey, newWorkflowKey, specKey} from '../../protocol/store_keys.js';
import type {StoreHealth} from './store_health.js';

/** Result of a submission or a cancellation. */
export const Acceptance = {
  STORED: 'stored',
  /** It is guaranteed not to be stored, now or later. */
  REFUSED: 'refused',
  /** It may be stored, now or a little later. */
  UNKNOWN: 'unknown',
  /** There is no such workflow. */
  ABSENT: 'absent',
} as const;
export type Acceptance = (typeof Acceptance)[keyof typeof Acceptance];

export interface WorkflowAcceptorOptions {
  readonly store: TransactionalStore;
  readonly health: StoreHealth;
  readonly owner: OwnerClient;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Time for the store to respond before the caller is told that the result is
 * unknown: well above slow responses, and well below callers' deadlines.
 */
const STORE_TIMEOUT_MILLIS = 900;

/**
 * Stores workflows and cancellations. Any entry may do so: the key of a
 * workflow can be created only once, whichever entry receives a repeated request.
 */
export class WorkflowAcceptor {
  constructor(private readonly options: WorkflowAcceptorOptions) {}

  /** Resolves at the latest a second after the call. */
  async submit(spec: WorkflowSpec): Promise<Acceptance> {
    const {id} = spec;
    if (this.options.health.isUnavailable)
      return this.refuse(id, 'the store is unavailable');
    return this.withTimeout(id, this.store(spec));
  }

  /** Resolves at the latest a second after the call. */
  cancel(id: string): Promise<Acceptance> {
    return this.withTimeout(id, this.storeCancellation(id));
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
  private async store(spec: WorkflowSpec): Promise<Acceptance> {
    const {store, health, clock, logger, owner} = this.options;
    const {id, queue} = spec;
    const sentAt = clock.now();
    try {
      const call = store.transact({
        conditions: [{key: specKey(id), revision: 0}],
        puts: [
          {key: specKey(id), value: encodeSpec(spec)},
          {key: newWorkflowKey(id), value: ''},
        ],
      });
      const result = await health.track(call);
      logger.event(Events.WORKFLOW_ACCEPTED, {
        workflow: id,
        queue,
        isRepeated: !result.succeeded,
        tasks: spec.steps.reduce((sum, step) => sum + step.count, 0),
        milliprocessors: spec.steps.reduce(
          (sum, {count, size}) => sum + count * size.milliprocessors,
          0,
        ),
        tookMillis: Math.round(clock.now() - sentAt),
      });
      if (result.succeeded) owner.notifyAccepted(spec);
      return Acceptance.STORED;
    } catch (error) {
      const reason = messageOf(error);
      if (error instanceof StoreRefusedError) return this.refuse(id, reason);
      return this.readBack(spec, reason);
    }
  }

  private async storeCancellation(id: string): Promise<Acceptance> {
    const {store, health, logger, owner} = this.options;
    try {
      const spec = await health.track(store.get(specKey(id)));
      if (!spec) return Acceptance.ABSENT;
      const puts = [{key: cancelKey(id), value: ''}];
      await health.track(store.transact({conditions: [], puts}));
      logger.event(Events.WORKFLOW_CANCELLED, {workflow: id});
      owner.notifyCancelled(id);
      return Acceptance.STORED;
    } catch (error) {
      return this.reportUnknown(id, messageOf(error));
    }
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
      if (!storedSpec) return this.reportUnknown(id, reason);
      owner.notifyAccepted(spec);
      return Acceptance.STORED;
    } catch (error) {
      return this.reportUnknown(id, messageOf(error));
    }
  }
}
