import type {AdmissionOutlook} from '../../decisions/workflows/admission/admission_outlook.js';
import {BestEffortLoad} from '../../decisions/workflows/admission/best_effort_load.js';
import type {BestEffortObservation} from '../../decisions/workflows/admission/best_effort_load.js';
import {RunOutcome} from '../../backends/leased_worker.js';
import {parseTaskName} from '../../decisions/workflows/task_name.js';
import type {Workflow} from '../../decisions/workflows/workflow.js';
import {workOfTask} from '../../decisions/workflows/workflow_timing.js';
import type {QueueTerms} from '../../decisions/workflows/workflow_types.js';
import type {RunEnd} from '../../protocol/generated/burdockmoor.js';
import type {Clock} from '../../utilities/clock.js';

export interface OwnerAdmissionOptions extends Pick<
  BestEffortObservation,
  'order' | 'termsOf'
> {
  readonly clock: Clock;
  /** All open workflows. */
  readonly workflows: () => Iterable<Workflow>;
}

/** The owner's part of admission control: the outlook that entries decide by. */
export class OwnerAdmission {
  private readonly load = new BestEffortLoad();

  constructor(private readonly options: OwnerAdmissionOptions) {}

  get outlook(): AdmissionOutlook {
    return this.load.outlook(this.options.clock.now());
  }

  /** Called when a workflow was accepted. */
  recordWorkflow(workflow: Workflow): void {
    const terms = this.termsOf(workflow);
    if (terms) this.load.add(workflow, terms);
  }

  /** Called when a run of the workflow has ended. */
  recordEnd(workflow: Workflow, {task, outcome}: RunEnd): void {
    const name = parseTaskName(task);
    const step = name && workflow.spec.steps[name.step];
    const terms = this.termsOf(workflow);
    if (!step?.fills || !terms || outcome !== RunOutcome.DONE) return;
    const {clock} = this.options;
    this.load.recordDone(
      terms.service,
      workOfTask(step, step.estimateMillis),
      clock.now(),
    );
  }

  /** Called periodically. */
  observe(): void {
    const {workflows, order, termsOf, clock} = this.options;
    this.load.observe({
      workflows: workflows(),
      order,
      termsOf,
      now: clock.now(),
      wallNow: clock.wallTime(),
    });
  }

  private termsOf(workflow: Workflow): QueueTerms | undefined {
    return this.options.termsOf(workflow);
  }
}
