import type {QueueConfiguration} from '../../decisions/workflows/workflow_types.js';
import type {WorkflowSpec} from '../../decisions/workflows/workflow_types.js';
import type {Clock} from '../../utilities/clock.js';
import type {ConfigurationFollower} from './configuration_follower.js';
import {ExplanationStatus, notExplained} from './explanation_result.js';
import type {
  ExplainedWorkflow,
  ExplanationResult,
} from './explanation_result.js';
import type {OwnerClient} from './owner_client.js';

/** Never the id of a stored workflow, which has 16 hexadecimal digits. */
const EXPLAINED_ID = 'explained';

export interface ExplanationClientOptions {
  readonly configuration: ConfigurationFollower;
  readonly owner: OwnerClient;
  readonly clock: Clock;
}

/** Asks the pool's owner to explain placements. */
export class ExplanationClient {
  constructor(private readonly options: ExplanationClientOptions) {}

  async explain(workflow: ExplainedWorkflow): Promise<ExplanationResult> {
    const {configuration, owner} = this.options;
    const {queue: name} = workflow;
    // An unknown queue may be new.
    if (!configuration.table?.findByName(name)) await configuration.refresh();
    if (!configuration.table) return notExplained(ExplanationStatus.NO_OWNER);
    const queue = configuration.table.findByName(name);
    if (!queue) return notExplained(ExplanationStatus.UNKNOWN_QUEUE);
    return owner.explainPlacement(this.specOf(workflow, queue));
  }

  private specOf(
    {steps}: ExplainedWorkflow,
    queue: QueueConfiguration,
  ): WorkflowSpec {
    return {
      id: EXPLAINED_ID,
      queue: queue.name,
      terms: queue,
      payload: '',
      steps,
      acceptedAtMillis: this.options.clock.wallTime(),
    };
  }
}
