import {AbsenceReason} from '../../decisions/workflows/absent_tasks.js';
import type {UnusableWorker} from '../../decisions/workflows/explaining/placement_explainer.js';
import {PlacementObstacle} from '../../decisions/workflows/placement_obstacle.js';
import type {WorkerView} from '../../decisions/workflows/worker_view.js';
import type {ConfigurationFollower} from './configuration_follower.js';
import type {PoolAttachments} from './pool_attachments.js';
import {agentOf} from './worker_registry.js';
import type {WorkerRegistry} from './worker_registry.js';

/** No run is placed if the worker's agent sent no message for this long. */
const MAXIMUM_MESSAGE_AGE_MILLIS = 1_200;
/** No run is placed on a worker whose last response is older than this. */
const MAXIMUM_RESPONSE_AGE_MILLIS = 900;

export interface WorkerAvailabilityOptions {
  readonly workerRegistry: WorkerRegistry;
  readonly attachments: PoolAttachments;
  readonly configuration: Pick<ConfigurationFollower, 'isEvacuated'>;
}

/** Tells which workers of the pool take tasks, and what keeps the others. */
export class WorkerAvailability {
  constructor(private readonly options: WorkerAvailabilityOptions) {}

  /** Workers whose agents are attached. */
  get attached(): WorkerView[] {
    const {workerRegistry, attachments} = this.options;
    return workerRegistry.all.filter(view => attachments.isCurrent(view));
  }

  /** Workers on which tasks may be placed. */
  usable(now: number): WorkerView[] {
    return this.options.workerRegistry.all.filter(
      view => this.obstacleTo(view, now) === undefined,
    );
  }

  unusable(now: number): UnusableWorker[] {
    const unusable: UnusableWorker[] = [];
    for (const view of this.options.workerRegistry.all) {
      const obstacle = this.obstacleTo(view, now);
      if (obstacle) unusable.push({view, obstacle});
    }
    return unusable;
  }

  /** Returns why the worker does not list its runs; undefined if it does. */
  absenceOf(worker: string, now: number): AbsenceReason | undefined {
    const {attachments, workerRegistry} = this.options;
    const agent = agentOf(worker);
    if (!attachments.hasAgent(agent)) return AbsenceReason.AGENT_DETACHED;
    const view = workerRegistry.get(worker);
    if (view && attachments.isCurrent(view)) {
      const isSilent = this.obstacleTo(view, now) === PlacementObstacle.SILENCE;
      return isSilent ? AbsenceReason.WORKER_SILENT : undefined;
    }
    return this.attached.some(other => other.agent === agent)
      ? AbsenceReason.WORKER_REPLACED
      : AbsenceReason.WORKER_UNREPORTED;
  }

  /** Returns why no task at all is placed on the worker now. */
  private obstacleTo(
    view: WorkerView,
    now: number,
  ): PlacementObstacle | undefined {
    const {attachments, configuration} = this.options;
    const {traits, lastMessageAt, silentMillis, hasRunList} = view;
    if (!attachments.isCurrent(view)) return PlacementObstacle.DETACHED;
    if (!hasRunList || now - lastMessageAt > MAXIMUM_MESSAGE_AGE_MILLIS)
      return PlacementObstacle.SILENCE;
    if (silentMillis > MAXIMUM_RESPONSE_AGE_MILLIS)
      return PlacementObstacle.SILENCE;
    if (traits.draining) return PlacementObstacle.DRAIN;
    return configuration.isEvacuated(traits.failureDomain)
      ? PlacementObstacle.EVACUATION
      : undefined;
  }
}
