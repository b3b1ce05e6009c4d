import type {
  FleetSettings,
  TeamSettings,
} from '../../settings/settings_types.js';
import {LogRecordType, attemptKey} from '../job_types.js';
import type {
  AttemptName,
  AttemptReport,
  JobKind,
  JobSpecification,
  LogRecord,
} from '../job_types.js';
import {FleetSummary} from '../placement/fleet_summary.js';
import {PlacementRound} from '../placement/placement_round.js';
import type {VmView} from '../placement/vm_table.js';
import {Evacuation} from '../recovery/evacuation.js';
import {LossDetector} from '../recovery/loss_detector.js';
import {TakeOver} from '../recovery/takeover.js';
import {AgentResponses} from './agent_responses.js';
import {AttemptLifecycle} from './attempt_lifecycle.js';
import {JobRegistry} from './job_registry.js';
import {JobCommands} from './job_commands.js';
import {JobQueries} from './job_queries.js';
import {TaskPhase} from './job_state.js';
import {LearnedState} from './learned_state.js';
import {MessagePlanner} from './message_planner.js';
import type {
  ChangeResult,
  JobExplanation,
  JobView,
  QueriedState,
  QueriesForVm,
  SchedulerCounts,
  StartOutcome,
  StartsForVm,
  StopsForVm,
  SubmitResult,
} from './scheduler_types.js';
import {ShardState} from './shard_state.js';
import type {ShardSchedulerOptions} from './shard_state.js';
import {readSnapshot, writeSnapshot} from './snapshot.js';

const FLEET_CHECK_MILLIS = 100;

/**
 * Makes all decisions about the jobs of one shard. A decision takes effect at
 * once and its record is queued; starts sent to agents and jobs shown by
 * queries depend only on records that the log holds. If another owner's append
 * comes first, the whole object is discarded: nothing is ever rolled back.
 *
 * Times named `now` are monotonic milliseconds of this process; wall times are
 * calendar milliseconds, for display and for records and snapshots.
 */
export class ShardScheduler {
  private readonly state: ShardState;
  private readonly memory: LearnedState;
  private readonly lifecycle: AttemptLifecycle;
  private readonly answers: AgentResponses;
  private readonly commands: JobCommands;
  private readonly messages: MessagePlanner;
  private readonly queries: JobQueries;
  private readonly lossDetector: LossDetector;
  private readonly evacuation: Evacuation;
  private readonly placement: PlacementRound;
  private readonly fleetSummary: FleetSummary;
  private nextCheckAt = -Infinity;

  constructor(
    options: ShardSchedulerOptions,
    books = {live: new JobRegistry(), durable: new JobRegistry()},
  ) {
    this.state = new ShardState(books.live, books.durable, options);
    this.memory = new LearnedState(this.state);
    this.lifecycle = new AttemptLifecycle(this.state, this.memory);
    this.answers = new AgentResponses(this.state, this.lifecycle);
    this.commands = new JobCommands(this.state, this.lifecycle);
    this.messages = new MessagePlanner(this.state);
    this.queries = new JobQueries(this.state);
    this.lossDetector = new LossDetector(this.state, this.lifecycle);
    this.evacuation = new Evacuation(this.state, this.lifecycle);
    this.fleetSummary = new FleetSummary(this.state);
    this.placement = new PlacementRound(this.state, this.lifecycle);
  }

  /** Throws a SyntaxError when the text is not a snapshot. */
  static restore(text: string, options: ShardSchedulerOptions): ShardScheduler {
    const {book: live, learned} = readSnapshot(text);
    const {book: durable} = readSnapshot(text);
    const scheduler = new ShardScheduler(options, {live, durable});
    scheduler.memory.restore(learned);
    return scheduler;
  }

  /**
   * Serializes the jobs as of the records that the log holds, without those
   * still queued, and the learned state.
   */
  snapshot(): string {
    return writeSnapshot(this.state.durableRegistry, this.memory.rows());
  }

  /** Applies a record of the log. The replay ends with `tookOver`. */
  replay(record: LogRecord): void {
    this.memory.replay(record);
    this.state.registry.apply(record);
    this.state.durableRegistry.apply(record);
  }

  /**
   * Begins the ownership after the replay and queues its record. Agents are
   * queried for all open attempts, and time before `now` never counts towards a
   * loss.
   */
  beginOwnership(
    entryId: string,
    epoch: number,
    now: number,
    wallTime: number,
  ): void {
    const type = LogRecordType.TAKEN_OVER;
    this.state.records.append({type, entryId, epoch, wallTime});
    new TakeOver(this.state, this.lifecycle).run(now);
  }

  get epoch(): number {
    return this.state.registry.epoch;
  }

  submit(
    specification: JobSpecification,
    now: number,
    wallTime: number,
  ): SubmitResult {
    return this.commands.submit(specification, wallTime);
  }

  cancel(
    team: string,
    name: string,
    reason: string,
    now: number,
    wallTime: number,
  ): ChangeResult {
    return this.commands.cancel(team, name, reason, now, wallTime);
  }

  confirm(
    team: string,
    name: string,
    by: string,
    wallTime: number,
  ): ChangeResult {
    return this.commands.confirm(team, name, by, wallTime);
  }

  setFleet(settings: FleetSettings): void {
    this.state.fleet = settings;
  }

  setTeam(settings: TeamSettings): void {
    this.state.ledger.setTeam(settings);
  }

  /** Applies a heartbeat that was answered with a lease at `now`. */
  applyHeartbeat(view: VmView, now: number, wallTime: number): void {
    this.answers.applyHeartbeat(view, now, wallTime);
  }

  applyStartResults(
    vm: string,
    results: readonly StartOutcome[],
    now: number,
    wallTime: number,
  ): void {
    this.answers.applyStartResults(vm, results, now, wallTime);
  }

  /** Called when the last starts are guaranteed not to have been sent. */
  recordStartsNotSent(names: readonly AttemptName[], now: number): void {
    this.answers.recordStartsNotSent(names, now);
  }

  /** Applies reports of ended attempts; repeated ones have no effect. */
  applyReports(
    vm: string,
    reports: readonly AttemptReport[],
    now: number,
    wallTime: number,
  ): void {
    for (const report of reports) {
      this.lifecycle.report(vm, report, now, wallTime);
    }
  }

  applyQueryStates(
    vm: string,
    incarnation: string,
    states: readonly QueriedState[],
    now: number,
    wallTime: number,
  ): void {
    this.answers.applyQueryStates(vm, incarnation, states, now, wallTime);
  }

  /** Makes all decisions that are due. Called several times a second. */
  decide(now: number, wallTime: number): void {
    if (now >= this.nextCheckAt) this.checkFleet(now, wallTime);
    this.evacuation.run(now, wallTime);
    this.queueDueTasks(now);
    if (this.state.records.size > this.state.limits.maximumQueuedRecords)
      return;
    this.placement.run(now, wallTime);
  }

  get hasRecords(): boolean {
    return this.state.records.size > 0;
  }

  /** Sequence number that has to be durable before a reply is sent. */
  get lastDecided(): number {
    return this.state.records.lastDecided;
  }

  /** Sequence number of the last record that the log holds. */
  get lastDurable(): number {
    return this.state.records.lastDurable;
  }

  /** Returns the next append's records; none until `acknowledge` is called. */
  takeRecords(): readonly LogRecord[] {
    return this.state.records.take();
  }

  /** Called when the log holds the records last taken. */
  acknowledge(): void {
    for (const record of this.state.records.acknowledge()) {
      if (record.type !== LogRecordType.PLACED) continue;
      const attempt = this.state.attempts.get(attemptKey(record.name));
      if (attempt) attempt.durable = true;
    }
  }

  startsDue(now: number): StartsForVm[] {
    return this.messages.startsDue(now);
  }

  stopsDue(now: number): StopsForVm[] {
    return this.messages.stopsDue(now);
  }

  queriesDue(now: number): QueriesForVm[] {
    return this.messages.queriesDue(now);
  }

  /** Returns the attempts whose end the log holds. */
  recordedReports(names: readonly AttemptName[]): AttemptName[] {
    const {registry, durableRegistry} = this.state;
    return names.filter(
      name => !durableRegistry.openTask(name) && !registry.openTask(name),
    );
  }

  job(team: string, name: string): JobView | undefined {
    return this.queries.job(team, name);
  }

  list(
    team: string,
    kind: JobKind,
    options?: {after?: string; limit?: number},
  ): JobView[] {
    return this.queries.list(team, kind, options);
  }

  explain(team: string, name: string): JobExplanation | undefined {
    return this.queries.explain(team, name);
  }

  counts(): SchedulerCounts {
    return this.queries.counts();
  }

  quarantinedVms(now: number): string[] {
    return this.queries.quarantinedVms(now);
  }

  dump(now: number): object {
    return this.queries.dump(now);
  }

  /** Checks that are too costly for every decision. */
  private checkFleet(now: number, wallTime: number): void {
    this.nextCheckAt = now + FLEET_CHECK_MILLIS;
    this.fleetSummary.run(now);
    this.lossDetector.run(now, wallTime);
    this.commands.removeOld(now, wallTime);
  }

  private queueDueTasks(now: number): void {
    const {delayed, ready} = this.state;
    for (;;) {
      const item = delayed.removeFirst(now);
      if (!item) return;
      const {job, task} = item;
      if (job.tasks[task].phase === TaskPhase.WAITING) ready.add(job, task);
    }
  }
}
