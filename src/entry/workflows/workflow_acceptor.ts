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
import {cancelKey, newKey, specKey} from '../../protocol/store_keys.js';
import type {StoreHealth} from './store_health.js';

/** What became of a submission or a cancellation. */
export const Acceptance = {
  STORED: 'stored',
  /** It surely does not stand in the store and never will. */
  REFUSED: 'refused',
  /** It may stand in the store, now or a little later. */
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
 * Time for the store to answer before the caller is told that nobody knows
 * yet: well over its slow answers, and well under callers' deadlines.
 */
const ANSWER_MILLIS = 900;

/**
 * Stores workflows and cancellations. Any entry may: the key of a workflow can
 * be created once, whoever takes the caller's repeated request.
 */
export class WorkflowAcceptor {
  constructor(private readonly options: WorkflowAcceptorOptions) {}

  /** Resolves at the latest a second after the call. */
  async submit(spec: WorkflowSpec): Promise<Acceptance> {
    const {id} = spec;
    if (this.options.health.isAway) return this.refuse(id, 'the store is away');
    return this.inTime(id, this.store(spec));
  }

  /** Resolves at the latest a second after the call. */
  cancel(id: string): Promise<Acceptance> {
    return this.inTime(id, this.storeCancellation(id));
  }

  private async inTime(
    id: string,
    stored: Promise<Acceptance>,
  ): Promise<Acceptance> {
    const {clock} = this.options;
    const acceptance = await withDeadline(clock, ANSWER_MILLIS, stored);
    return acceptance ?? this.giveUp(id, 'the store has not answered yet');
  }

  /** Goes on after the caller was answered, so that the owner hears of it. */
  private async store(spec: WorkflowSpec): Promise<Acceptance> {
    const {store, health, clock, logger, owner} = this.options;
    const {id, queue} = spec;
    const sentAt = clock.now();
    try {
      const call = store.transact({
        conditions: [{key: specKey(id), revision: 0}],
        puts: [
          {key: specKey(id), value: encodeSpec(spec)},
          {key: newKey(id), value: ''},
        ],
      });
      const result = await health.watch(call);
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
      if (result.succeeded) owner.noteAccepted(spec);
      return Acceptance.STORED;
    } catch (error) {
      const reason = messageOf(error);
      if (error instanceof StoreRefusedError) return this.refuse(id, reason);
      return this.lookAfter(spec, reason);
    }
  }

  private async storeCancellation(id: string): Promise<Acceptance> {
    const {store, health, logger, owner} = this.options;
    try {
      const spec = await health.watch(store.get(specKey(id)));
      if (!spec) return Acceptance.ABSENT;
      const puts = [{key: cancelKey(id), value: ''}];
      await health.watch(store.transact({conditions: [], puts}));
      logger.event(Events.WORKFLOW_CANCELLED, {workflow: id});
      owner.noteCancelled(id);
      return Acceptance.STORED;
    } catch (error) {
      return this.giveUp(id, messageOf(error));
    }
  }

  private refuse(id: string, reason: string): Acceptance {
    this.options.logger.event(Events.WORKFLOW_REFUSED, {workflow: id, reason});
    return Acceptance.REFUSED;
  }

  private giveUp(id: string, reason: string): Acceptance {
    const fields = {workflow: id, reason};
    this.options.logger.event(Events.WORKFLOW_UNDECIDED, fields);
    return Acceptance.UNKNOWN;
  }

  /** The write may have taken effect: only the store can say. */
  private async lookAfter(
    spec: WorkflowSpec,
    reason: string,
  ): Promise<Acceptance> {
    const {store, health, owner} = this.options;
    const {id} = spec;
    try {
      const standing = await health.watch(store.get(specKey(id)));
      if (!standing) return this.giveUp(id, reason);
      owner.noteAccepted(spec);
      return Acceptance.STORED;
    } catch (error) {
      return this.giveUp(id, messageOf(error));
    }
  }
}
