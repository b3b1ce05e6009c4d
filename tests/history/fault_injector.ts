import {FAULTS, targetOf} from './faults.js';
import type {FaultName} from './faults.js';
import type {Step, StepHooks, StepPlace} from './step_hooks.js';
import type {Workload} from './workload.js';

/** A fault at one of the times at which a step is reached. */
export interface PlannedFault {
  readonly fault: FaultName;
  readonly step: Step;
  /** Counts from 1, from the time at which faults begin. */
  readonly occurrence: number;
}

/** Injects planned faults when their steps are reached, and counts them. */
export class FaultInjector implements StepHooks {
  readonly injected: PlannedFault[] = [];
  readonly occurrences = new Map<Step, number>();
  private workload: Workload | undefined;
  private active = false;

  constructor(private readonly plan: readonly PlannedFault[]) {}

  /** From now on steps count. */
  begin(workload: Workload): void {
    this.workload = workload;
    this.active = true;
  }

  /** No further fault begins. */
  end(): void {
    this.active = false;
  }

  reached(step: Step, place: StepPlace): void {
    if (!this.active) return;
    const occurrence = (this.occurrences.get(step) ?? 0) + 1;
    this.occurrences.set(step, occurrence);
    for (const planned of this.plan) {
      if (planned.step !== step || planned.occurrence !== occurrence) continue;
      this.inject(planned, place);
    }
  }

  private inject(planned: PlannedFault, place: StepPlace): void {
    const workload = this.workload!;
    const {fleet} = workload;
    const {fault} = planned;
    const target = targetOf(workload, place);
    const {lastsMillis, process, end} = FAULTS[fault](target);
    this.injected.push(planned);
    fleet.history.record({type: 'faultBegin', fault, process});
    fleet.clock.schedule(lastsMillis, () => {
      end();
      fleet.history.record({type: 'faultEnd', fault, process});
    });
  }
}
