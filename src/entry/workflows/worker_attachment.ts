import {RunOutcome, StartRefusal} from '../../backends/leased_worker.js';
import {MAXIMUM_SILENCE_MILLIS} from '../../decisions/workflows/lease_duration.js';
import {runKey} from '../../decisions/workflows/task_name.js';
import {taskNameOf} from '../../decisions/workflows/workflow.js';
import type {PlacedRun} from '../../decisions/workflows/workflow.js';
import type {
  WorkerTraits,
  WorkerView,
} from '../../decisions/workflows/worker_view.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {
  ListingDelta,
  RunEnd,
  RunStatus,
  RunStartResult,
  WorkerCommands,
  WorkerDescription,
  WorkerUpdate,
} from '../../protocol/generated/burdockmoor.js';
import type {
  Attachment,
  AttachmentListener,
} from '../../protocol/pool_links.js';
import type {Clock} from '../../utilities/clock.js';
import {NO_RESOURCES} from '../../utilities/resources.js';
import {CommandQueue} from './command_queue.js';
import type {CommandKind, Commands} from './command_queue.js';
import {EndAcknowledgements} from './end_acknowledgements.js';
import {RunListReceiver} from './run_list_receiver.js';
import {traitsOf} from './run_traits.js';

/** A start or stop command without visible effect is resent after this time. */
const RESEND_MILLIS = 800;

/**
 * An update gets a response unless a message was sent to the agent this
 * recently. Well below the interval between updates, and below the time after
 * which the agent suspects that the owner has failed.
 */
const MINIMUM_REPLY_INTERVAL_MILLIS = 300;

/** The owner's callbacks for messages from its workers. */
export interface WorkerListener {
  onAttached(attachment: WorkerAttachment): void;
  onWorker(agent: string, traits: WorkerTraits): WorkerView;
  /** The effect is called once the end is durable or need not be stored. */
  onEnd(view: WorkerView, end: RunEnd, effect: () => void): void;
  onStartResult(view: WorkerView, result: RunStartResult): void;
  /** Called when the worker's run list was updated. */
  onRunList(view: WorkerView): void;
  onLeaseExpired(view: WorkerView): void;
  /** Called when a lease was sent that starts at the given time at most. */
  onLeaseGranted(view: WorkerView, startsAt: number): void;
  onDetached(attachment: WorkerAttachment, reason: string): void;
  /** Called when a command was dropped, as no message can carry it. */
  onDropped(kind: CommandKind, task: string, run: number, reason: string): void;
  /** Returns the step of a task; undefined for an unknown task. */
  findStep(task: string): PlacedRun['reference']['step'] | undefined;
}

export interface WorkerAttachmentOptions {
  readonly attachment: Attachment<WorkerCommands>;
  readonly listener: WorkerListener;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly epoch: number;
  /** The lease to grant now; 0 if this process may no longer be the owner. */
  readonly leaseMillis: () => number;
}

/** The owner's end of the stream to one agent. */
export class WorkerAttachment implements AttachmentListener<WorkerUpdate> {
  agent = '';
  view: WorkerView | undefined;
  /** Time of the last update. */
  lastMessageAt = -Infinity;
  /**
   * Since then the agent, in this run and earlier ones, has extended no lease
   * but those of the workers that it named on this stream. Infinite for an agent
   * of an earlier version, which doesn't say.
   */
  exclusiveSince = Infinity;
  /** Keys of the workers that the agent named on this stream. */
  private readonly namedWorkers = new Set<string>();
  /** Time of the last message to the agent. */
  private lastSentAt = -Infinity;
  private ends = new EndAcknowledgements();
  private runListReceiver = new RunListReceiver();
  private lastSequence = 0;
  private readonly commands = new CommandQueue();
  /** Time of the last start or stop command, by run key. */
  private readonly commandedAt = new Map<string, number>();
  private flushScheduled = false;
  private ended = false;

  constructor(private readonly options: WorkerAttachmentOptions) {}

  onMessage(update: WorkerUpdate): void {
    const {listener, clock} = this.options;
    if (update.sequence !== this.lastSequence + 1) {
      const reason = `update ${update.sequence} follows ${this.lastSequence}`;
      return this.close(reason);
    }
    this.lastSequence = update.sequence;
    this.lastMessageAt = clock.now();
    if (update.agent !== '') this.agent = update.agent;
    if (update.exclusiveMillis > 0) {
      this.exclusiveSince = this.lastMessageAt - update.exclusiveMillis;
    }
    listener.onAttached(this);
    if (update.worker) this.identifyWorker(this.agent, update.worker);
    const {view} = this;
    if (view) {
      view.lastMessageAt = clock.now();
      // Its lease may be about to end, as it was not extended meanwhile.
      if (isSilent(view) && update.silentMillis < MAXIMUM_SILENCE_MILLIS)
        this.scheduleFlush();
      view.silentMillis = update.silentMillis;
      for (const end of update.ends) this.acceptEnd(view, end);
      for (const result of update.results) listener.onStartResult(view, result);
      if (update.listing) this.applyRunList(view, update.listing, update);
      if (update.lapsed) listener.onLeaseExpired(view);
    }
    if (this.isReplyDue) this.scheduleFlush();
  }

  onEnd(reason: string): void {
    if (this.ended) return;
    this.ended = true;
    this.options.listener.onDetached(this, reason);
  }

  /** Starts a run on the worker, if its placement is durable. */
  start({reference, placement, isDurable}: PlacedRun): void {
    const {view} = this;
    if (
      !view ||
      !isDurable ||
      placement.worker !== view.key ||
      placement.stopping
    )
      return;
    const task = taskNameOf(reference);
    const {run} = placement;
    this.commandedAt.set(runKey(task, run), this.options.clock.now());
    const isQueued = this.queue('starts', {
      incarnation: view.traits.incarnation,
      task,
      run,
      payload: reference.workflow.spec.payload,
      checkpoint: reference.task.checkpoint,
      ...traitsOf(reference.step),
      ticket: '',
    });
    if (!isQueued) this.preventStart(view, task, run);
  }

  /**
   * Prevents the run by a stop, as an earlier owner may have sent its start. A
   * run that not even a stop can name was never started.
   */
  private preventStart(view: WorkerView, task: string, run: number): void {
    if (this.stop(task, run)) return;
    const refusal = StartRefusal.CLOSED;
    this.options.listener.onStartResult(view, {task, run, refusal});
  }

  /** False if the command was dropped. */
  private queue<Kind extends CommandKind>(
    kind: Kind,
    command: Commands[Kind][number],
  ): boolean {
    const reason = this.commands.add(kind, command);
    const {task, run} = command;
    if (reason === undefined) this.scheduleFlush();
    else this.options.listener.onDropped(kind, task, run, reason);
    return reason === undefined;
  }

  hasNamed(worker: string): boolean {
    return this.namedWorkers.has(worker);
  }

  close(reason: string): void {
    if (this.ended) return;
    this.options.attachment.close(reason);
    this.onEnd(reason);
  }

  private identifyWorker(agent: string, description: WorkerDescription): void {
    const previous = this.view;
    this.view = this.options.listener.onWorker(agent, toTraits(description));
    this.namedWorkers.add(this.view.key);
    if (previous === this.view) return;
    this.ends = new EndAcknowledgements();
    this.runListReceiver = new RunListReceiver();
    this.view.running.clear();
    this.commandedAt.clear();
  }

  private acceptEnd(view: WorkerView, end: RunEnd): void {
    if (!this.ends.recordEnd(end.number)) return;
    const {ends} = this;
    this.confirmStart(view, runKey(end.task, end.run));
    this.options.listener.onEnd(view, end, () => {
      if (ends.markDurable(end.number) && ends === this.ends)
        this.scheduleFlush();
    });
  }

  private applyRunList(
    view: WorkerView,
    listing: ListingDelta,
    {starting}: WorkerUpdate,
  ): void {
    view.hasRunList = true;
    this.runListReceiver.apply(listing, view.running);
    for (const {task, run} of listing.added) this.addRunTraits(view, task, run);
    this.reconcile(view, new Set(starting));
    this.options.listener.onRunList(view);
  }

  /** Adds the traits of a run new to the stream, to protect tail latency. */
  private addRunTraits(view: WorkerView, task: string, run: number): void {
    const name = runKey(task, run);
    const placed = view.placed.get(name);
    if (!placed || this.commandedAt.has(name)) return;
    const traits = traitsOf(placed.reference.step);
    if (!traits.fills && traits.tailTargetMillis === 0) return;
    this.queue('traits', {task, run, ...traits});
  }

  /**
   * Called when a run list or an end shows that the worker has the run. Run
   * lists are up to half a second late, so the start counts from its command.
   */
  private confirmStart(view: WorkerView, name: string): void {
    const placed = view.placed.get(name);
    const commandedAt = this.commandedAt.get(name);
    this.commandedAt.delete(name);
    if (placed && !placed.placement.stopping) placed.startedAt ??= commandedAt;
  }

  /** Resends commands that show no effect, and stops unexpected runs. */
  private reconcile(view: WorkerView, starting: ReadonlySet<string>): void {
    for (const [name, placed] of view.placed) {
      const {reference, placement} = placed;
      // A start may stay undecided for long; a stop must not wait for it.
      if (starting.has(name) && !placement.stopping) continue;
      if (!placement.stopping && view.running.has(name)) {
        this.confirmStart(view, name);
      } else if (this.wasCommandedRecently(name)) {
        continue;
      } else if (placement.stopping) {
        this.stop(taskNameOf(reference), placement.run);
      } else {
        this.start(placed);
      }
    }
    view.unexpected.clear();
    for (const [name, run] of view.running) {
      if (!view.placed.has(name)) this.handleUnexpectedRun(view, name, run);
    }
  }

  /** Stops a run on the worker, or prevents its start; false if dropped. */
  stop(task: string, run: number): boolean {
    const {view} = this;
    if (!view) return false;
    this.commandedAt.set(runKey(task, run), this.options.clock.now());
    return this.queue('stops', {
      incarnation: view.traits.incarnation,
      task,
      run,
    });
  }

  /** Limits a run's processor share. */
  pace(task: string, run: number, percent: number): void {
    const {view} = this;
    if (!view) return;
    const {incarnation} = view.traits;
    this.queue('paces', {incarnation, task, run, percent});
  }

  private handleUnexpectedRun(
    view: WorkerView,
    name: string,
    {task, run}: RunStatus,
  ): void {
    const step = this.options.listener.findStep(task);
    const size = step?.size ?? NO_RESOURCES;
    view.unexpected.set(name, {size, fills: step?.fills ?? false});
    if (this.wasCommandedRecently(name)) return;
    this.options.logger.event(Events.RUN_UNEXPECTED, {
      task,
      run,
      worker: view.key,
    });
    this.stop(task, run);
  }

  private wasCommandedRecently(name: string): boolean {
    const sentAt = this.commandedAt.get(name);
    if (sentAt === undefined) return false;
    return this.options.clock.now() - sentAt < RESEND_MILLIS;
  }

  /** Batches the commands of one turn of the event loop. */
  private scheduleFlush(): void {
    if (this.flushScheduled || this.ended) return;
    this.flushScheduled = true;
    setImmediate(() => {
      this.flushScheduled = false;
      this.send();
    });
  }

  /** False if the agent was sent a lease recently enough. */
  private get isReplyDue(): boolean {
    return (
      this.options.clock.now() - this.lastSentAt >=
      MINIMUM_REPLY_INTERVAL_MILLIS
    );
  }

  /**
   * Sends the batch; it also grants the worker a lease that starts at the last
   * update. Nothing is granted to an agent that has named no worker, or whose
   * worker is silent.
   */
  private send(): void {
    if (this.ended) return;
    const {view} = this;
    const isGranting = view !== undefined && !isSilent(view);
    const leaseMillis = isGranting ? this.options.leaseMillis() : 0;
    const {attachment, epoch, listener} = this.options;
    const {commands, count} = this.commands.next();
    const sent = attachment.send({
      epoch,
      sequence: this.lastSequence,
      leaseMillis,
      incarnation: view?.traits.incarnation ?? '',
      durableEnd: this.ends.durableEnd,
      ...commands,
    });
    if (!sent) return;
    this.lastSentAt = this.options.clock.now();
    if (view && leaseMillis > 0)
      listener.onLeaseGranted(view, this.lastMessageAt);
    this.commands.remove(count);
    if (!this.commands.isEmpty) this.scheduleFlush();
  }
}

function isSilent({silentMillis}: WorkerView): boolean {
  return silentMillis >= MAXIMUM_SILENCE_MILLIS;
}

/** True for an outcome known to this version. */
export function isRunOutcome(text: string): text is RunOutcome {
  return (Object.values(RunOutcome) as string[]).includes(text);
}

/** True if the refusal is caused by the worker, not the run. */
export function isCausedByWorker(refusal: string): boolean {
  return refusal === StartRefusal.REJECTED || refusal === StartRefusal.REPLACED;
}

function toTraits(description: WorkerDescription): WorkerTraits {
  return {...description, room: description.room ?? NO_RESOURCES};
}
