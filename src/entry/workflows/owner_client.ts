import type {AdmissionOutlook} from '../../decisions/workflows/admission/admission_outlook.js';
import type {WorkflowState} from '../../decisions/workflows/workflow_types.js';
import type {WorkflowSpec} from '../../decisions/workflows/workflow_types.js';
import {encodeSpec} from '../../decisions/workflows/workflow_codec.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {NoteWorkflowReply} from '../../protocol/generated/burdockmoor.js';
import type {PoolLink, PoolLinkFactory} from '../../protocol/pool_links.js';
import {messageOf} from '../../utilities/base_error.js';
import {ExplanationStatus, notExplained} from './explanation_result.js';
import type {ExplanationResult} from './explanation_result.js';
import type {Clock} from '../../utilities/clock.js';
import type {ReceivedOutlook} from './admission_control.js';
import type {PoolOwnership} from './pool_ownership.js';

export interface OwnerClientOptions {
  readonly ownership: PoolOwnership;
  readonly links: PoolLinkFactory;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** The owner's response about a workflow. */
export interface OwnerResponse {
  /** Undefined if the owner does not know the workflow. */
  readonly state?: WorkflowState;
}

/** Client of the pool's owner, in this process or another. */
export class OwnerClient {
  private link: PoolLink | undefined;
  private address = '';
  private received:
    {readonly outlook: AdmissionOutlook; readonly askedAt: number} | undefined;

  constructor(private readonly options: OwnerClientOptions) {}

  /** The owner's latest outlook; undefined if it has sent none. */
  get lastOutlook(): ReceivedOutlook | undefined {
    const {owner} = this.options.ownership;
    const outlook = owner?.outlook;
    if (outlook) return {outlook, ageMillis: 0};
    if (!this.received) return undefined;
    const {askedAt} = this.received;
    const ageMillis = this.options.clock.now() - askedAt;
    return {outlook: this.received.outlook, ageMillis};
  }

  /** Notifies the owner, which would otherwise read it from the store later. */
  notifyAccepted(spec: WorkflowSpec): void {
    const {owner} = this.options.ownership;
    if (owner) return owner.addWorkflow(spec);
    this.notifyOwner(spec.id, link =>
      link.noteWorkflow({
        workflow: spec.id,
        cancelled: false,
        record: encodeSpec(spec),
      }),
    );
  }

  notifyCancelled(id: string): void {
    const {owner} = this.options.ownership;
    if (owner) return owner.cancel(id);
    this.notifyOwner(id, link =>
      link.noteWorkflow({workflow: id, cancelled: true, record: ''}),
    );
  }

  /** Undefined when the owner can't be asked. */
  async show(id: string): Promise<OwnerResponse | undefined> {
    const {owner} = this.options.ownership;
    if (owner) return {state: owner.stateOf(id)};
    const reply = await this.request(link => link.showWorkflow({workflow: id}));
    if (!reply?.owned) return undefined;
    return reply.state === '' ? {} : {state: reply.state as WorkflowState};
  }

  /** Undefined when the owner can't be asked. */
  async countWaiting(queue: string): Promise<number | undefined> {
    const {owner} = this.options.ownership;
    if (owner) return owner.countQueued(queue);
    const reply = await this.request(link => link.countWaiting({queue}));
    return reply?.owned ? reply.waiting : undefined;
  }

  /** Asks the owner where the tasks of the workflow would be placed now. */
  async explainPlacement(spec: WorkflowSpec): Promise<ExplanationResult> {
    const {owner} = this.options.ownership;
    if (owner) return owner.explainPlacement(spec);
    const record = encodeSpec(spec);
    const reply = await this.request(link => link.explainPlacement({record}));
    if (!reply?.owned) return notExplained(ExplanationStatus.NO_OWNER);
    const {explanation} = reply;
    return explanation === ''
      ? notExplained(ExplanationStatus.BUSY)
      : {status: ExplanationStatus.EXPLAINED, explanation};
  }

  close(reason: string): void {
    this.link?.close(reason);
    this.link = undefined;
  }

  private notifyOwner(
    id: string,
    call: (link: PoolLink) => Promise<NoteWorkflowReply>,
  ): void {
    const askedAt = this.options.clock.now();
    void this.request(call).then(reply => {
      const outlook = reply?.outlook;
      if (outlook) this.received = {outlook, askedAt};
      if (reply !== undefined) return;
      // No retry: the owner reads its inbox once a second.
      this.options.logger.event(Events.AGENT_CALL_FAILED, {
        workflow: id,
        reason: 'the owner was not notified',
      });
    });
  }

  private async request<Reply>(
    call: (link: PoolLink) => Promise<Reply>,
  ): Promise<Reply | undefined> {
    const link = this.linkToOwner();
    if (!link) return undefined;
    try {
      return await call(link);
    } catch (error) {
      const reason = messageOf(error);
      this.options.logger.event(Events.AGENT_CALL_FAILED, {reason});
      return undefined;
    }
  }

  private linkToOwner(): PoolLink | undefined {
    const {knownOwner} = this.options.ownership;
    if (!knownOwner) return undefined;
    if (this.link && this.address === knownOwner.address) return this.link;
    this.link?.close('the pool has a new owner');
    this.address = knownOwner.address;
    this.link = this.options.links.openPool(knownOwner.address);
    return this.link;
  }
}
