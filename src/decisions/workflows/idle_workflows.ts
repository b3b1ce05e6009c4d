import type {Workflow} from './workflow.js';

/** Tracks how long workflows have had no placed runs. */
export class IdleWorkflows {
  private readonly idleSince = new Map<string, number>();

  /** Called in each round of placement, before any decision. */
  observe(workflows: Iterable<Workflow>, now: number): void {
    for (const workflow of workflows) {
      if (workflow.hasPlacements) this.idleSince.delete(workflow.id);
      else if (!this.idleSince.has(workflow.id)) {
        this.idleSince.set(workflow.id, now);
      }
    }
  }

  /** Returns how long the workflow has had no placed runs, in milliseconds. */
  idleMillis({id}: Workflow, now: number): number {
    return now - (this.idleSince.get(id) ?? now);
  }

  forget(workflow: string): void {
    this.idleSince.delete(workflow);
  }
}
