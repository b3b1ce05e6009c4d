import {demandOf} from '../../decisions/workflows/admission/admission_demand.js';
import {isValidOutlook} from '../../decisions/workflows/admission/admission_outlook.js';
import type {AdmissionOutlook} from '../../decisions/workflows/admission/admission_outlook.js';
import {findRefusal} from '../../decisions/workflows/admission/admission_policy.js';
import type {AdmissionRefusal} from '../../decisions/workflows/admission/admission_policy.js';
import {PromisedWork} from '../../decisions/workflows/admission/promised_work.js';
import {encodeRefusal} from '../../decisions/workflows/workflow_codec.js';
import type {RefusedWorkflow} from '../../decisions/workflows/workflow_codec.js';
import type {WorkflowSpec} from '../../decisions/workflows/workflow_types.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {
  Counter,
  LatencyHistogram,
  Metrics,
} from '../../observability/metrics.js';
import type {Clock} from '../../utilities/clock.js';

/**
 * An outlook tells little after this long: a burst adds seconds of work within
 * it. Owners change in about the same time.
 */
const MAXIMUM_OUTLOOK_AGE_MILLIS = 2_000;
const MILLIS_PER_SECOND = 1_000;

/** The owner's outlook, and how long ago it was asked for. */
export interface ReceivedOutlook {
  readonly outlook: AdmissionOutlook;
  readonly ageMillis: number;
}

export interface AdmissionControlOptions {
  /** Undefined if the owner has sent none. */
  readonly lastOutlook: () => ReceivedOutlook | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Decides at an entry which workflows are refused, and keeps count of them. */
export class AdmissionControl {
  private readonly promises = new PromisedWork();
  private readonly refusals: Counter;
  private readonly returns: Counter;
  private readonly promisedWaits: LatencyHistogram;

  constructor(private readonly options: AdmissionControlOptions) {
    const {metrics} = options;
    this.refusals = metrics.counter(
      'workflows_deferred_total',
      'Refusals of workflows that would have ended without value.',
    );
    this.returns = metrics.counter(
      'deferred_workflows_accepted_total',
      'Workflows accepted after an earlier refusal with a Retry-After.',
    );
    this.promisedWaits = metrics.latency(
      'promised_wait_seconds',
      'Retry-After of refused workflows.',
    );
  }

  /** Returns undefined for a workflow that is accepted. */
  findRefusal(spec: WorkflowSpec): AdmissionRefusal | undefined {
    const demand = demandOf(spec);
    const outlook = this.currentOutlook();
    if (!demand || !outlook) return undefined;
    const {id} = spec;
    const now = this.options.clock.now();
    const promisedWork = this.promises.workBefore(id, demand.service, now);
    return findRefusal({id, demand, outlook, promisedWork});
  }

  /**
   * True if a workflow that was refused before is accepted now. Its Retry-After
   * may come from another entry. The calendar may have jumped since: then the
   * decision is that about a new workflow, or comes too early.
   */
  acceptsReturn(spec: WorkflowSpec, {retryAtMillis}: RefusedWorkflow): boolean {
    const demand = demandOf(spec);
    const outlook = this.currentOutlook();
    if (!demand || !outlook) return true;
    if (this.options.clock.wallTime() < retryAtMillis) return false;
    const request = {id: spec.id, demand, outlook, hasReturned: true};
    return findRefusal(request) === undefined;
  }

  /** Returns the record of a refusal that is decided now. */
  recordOf({retryAfterSeconds}: AdmissionRefusal): string {
    const waitMillis = retryAfterSeconds * MILLIS_PER_SECOND;
    const retryAtMillis = this.options.clock.wallTime() + waitMillis;
    return encodeRefusal({retryAtMillis});
  }

  /** Called when a refusal is durable. */
  recordRefusal(spec: WorkflowSpec, refusal: AdmissionRefusal): void {
    const {retryAfterSeconds, expectedEndMillis, workAhead, rate} = refusal;
    const waitMillis = retryAfterSeconds * MILLIS_PER_SECOND;
    const {clock, logger} = this.options;
    const demand = demandOf(spec);
    if (demand) {
      this.promises.record(spec.id, demand, clock.now() + waitMillis);
    }
    this.refusals.increment();
    this.promisedWaits.record(waitMillis);
    logger.event(Events.WORKFLOW_DEFERRED, {
      workflow: spec.id,
      queue: spec.queue,
      retryAfterSeconds,
      expectedEndMillis: Math.round(expectedEndMillis),
      workAheadCoreMillis: Math.round(workAhead),
      finishedCores: Math.round(rate * 10) / 10,
    });
  }

  /** Called when a refusal was decided but could not be made durable. */
  recordUnstored(id: string, reason: string): void {
    const fields = {workflow: id, reason};
    this.options.logger.event(Events.REFUSAL_NOT_STORED, fields);
  }

  /** Called when a workflow was stored in place of its refusal. */
  recordReturn(id: string): void {
    this.returns.increment();
    this.options.logger.event(Events.DEFERRED_ACCEPTED, {workflow: id});
  }

  /** Called when the workflow is known to be stored. */
  forget(id: string): void {
    this.promises.forget(id);
  }

  private currentOutlook(): AdmissionOutlook | undefined {
    const last = this.options.lastOutlook();
    if (!last || last.ageMillis > MAXIMUM_OUTLOOK_AGE_MILLIS) return undefined;
    if (isValidOutlook(last.outlook)) return last.outlook;
    this.options.logger.event(Events.OUTLOOK_INVALID);
    return undefined;
  }
}
