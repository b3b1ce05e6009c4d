import {
  isListOf,
  MAXIMUM_LISTED_ENDS,
  StartRefusal,
} from '../../backends/leased_worker.js';
import type {
  LeasedWorker,
  WorkerRunList,
  WorkerReport,
  WorkerRun,
  WorkerRunEnd,
} from '../../backends/leased_worker.js';
import {WorkerRefusedError} from '../../backends/platform_errors.js';
import {MAXIMUM_SILENCE_MILLIS} from '../../decisions/workflows/lease_duration.js';
import {runKey} from '../../decisions/workflows/task_name.js';
import {TailThrottle} from '../../decisions/workflows/tail_throttle.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {
  PaceCommand,
  RunStartResult,
  RunTraits,
  StartCommand,
  StopCommand,
} from '../../protocol/generated/burdockmoor.js';
import {messageOf} from '../../utilities/base_error.js';
import type {Clock} from '../../utilities/clock.js';
import type {FencingToken} from './fencing_token.js';
import {WorkerLease} from './worker_lease.js';

/**
 * How long a poll waits for a run to end, and so the age of the run list that
 * the owner sees. A worker measures over half a second.
 */
const POLL_MILLIS = 450;
/** Pauses while ends or a lease are awaited, and after a failed poll. */
const PENDING_PAUSE_MILLIS = 100;
const FAILED_PAUSE_MILLIS = 150;
/** No worker restarts within this time. */
const MINIMUM_RESTART_MILLIS = 50;
/** A worker that announced its end but still runs responds within this time. */
const LEAVING_RESPONSE_MILLIS = POLL_MILLIS + 100;
/** Without an owner for this long, the agent protects tail latencies itself. */
const OWNER_SILENT_MILLIS = 1_500;
/** Time for a decision to take effect and be measured for half a second. */
const THROTTLE_PERIOD_MILLIS = 600;

/** A caller that waits for the run list to show what became of a run. */
interface AwaitedPoll {
  /** Run key. */
  readonly name: string;
  /** The number of answered polls to wait for. */
  readonly target: number;
  readonly resolve: (isAnswered: boolean) => void;
}

export interface WorkerSessionObserver {
  /** Called when the owner should be updated at once. */
  onChange(): void;
  /** Called when the run list was refreshed and nothing else has changed. */
  onRunsListed(): void;
}

export interface WorkerSessionOptions {
  readonly report: WorkerReport;
  readonly worker: LeasedWorker;
  readonly token: FencingToken;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly maximumLeaseMillis: number;
  /** Since then nobody but this session has extended the worker's lease. */
  readonly exclusiveSince: number;
  /**
   * Highest token of starts for an earlier incarnation. The worker is not polled
   * before the token is raised above it, so that a run list of this incarnation
   * shows that these starts are void.
   */
  readonly formerToken?: number;
  readonly observer: WorkerSessionObserver;
}

/** The session with one incarnation of the worker beside this agent. */
export class WorkerSession {
  readonly lease: WorkerLease;
  /** The last report of the worker. */
  report: WorkerReport;
  private running: readonly WorkerRun[] = [];
  private hasRunList = false;
  private readonly ends = new Map<number, WorkerRunEnd>();
  private readonly starting = new Map<string, StartCommand>();
  private readonly stopping = new Set<string>();
  /**
   * The highest token of each start that was sent, by run key; only the worker
   * knows if such a run began.
   */
  private readonly sentStarts = new Map<string, number>();
  private results: RunStartResult[] = [];
  private acknowledged = 0;
  private lastResponseAt: number;
  private isLastPollAnswered = false;
  private silent = false;
  /** True after a silence, for which the owner grants no lease. */
  private isLeaseAwaited = false;
  /** When another incarnation was found to respond in place of this one. */
  private replacedAt = Infinity;
  /** Count of ended connections when the worker last proved who it is. */
  private confirmedConnections = -1;
  /** When the worker announced its end. */
  private leavingAt = Infinity;
  /** How often an expired lease was reported to the owner. */
  private reportedExpirations = 0;
  private answeredPolls = 0;
  private readonly traits = new Map<string, RunTraits>();
  /** Runs with traits that were listed; one that is no longer listed ended. */
  private readonly listedTraits = new Set<string>();
  private readonly throttle = new TailThrottle();
  private readonly paced = new Map<string, number>();
  private lastOwnerMessageAt = -Infinity;
  private throttledAt = -Infinity;
  private closed = false;
  /** Ends the pause between two polls. */
  private endPause: (() => void) | undefined;
  private readonly awaitedPolls = new Set<AwaitedPoll>();
  /** Called when the present poll has ended, with a response or without. */
  private readonly pollWaiters: Array<() => void> = [];

  constructor(private readonly options: WorkerSessionOptions) {
    const {clock, report} = options;
    this.report = report;
    this.lease = new WorkerLease(clock);
    this.lastResponseAt = clock.now();
  }

  get incarnation(): string {
    return this.options.report.incarnation;
  }

  get silentMillis(): number {
    return Math.round(this.options.clock.now() - this.lastResponseAt);
  }

  /**
   * True if all runs of the worker are guaranteed to have ended: it announced
   * its end and no longer responds, or it is silent and its lease has expired.
   * From then on the owner may start the runs elsewhere, and this session
   * abandons starts in progress.
   */
  reportExpiration(): boolean {
    const {maximumLeaseMillis, exclusiveSince} = this.options;
    // A new incarnation may have carried out starts that were for this one.
    const since = this.isReplaced ? this.replacedAt : exclusiveSince;
    const hasExpired =
      this.silent && this.lease.isExpired(maximumLeaseMillis, since);
    if (!hasExpired && !this.hasLeft) return false;
    this.reportedExpirations++;
    return true;
  }

  /** Records that the worker announced its end. */
  recordLeaving(): void {
    const {clock, observer} = this.options;
    this.leavingAt = Math.min(this.leavingAt, clock.now());
    clock.schedule(LEAVING_RESPONSE_MILLIS + 1, () => {
      if (!this.closed && this.hasLeft) observer.onChange();
    });
  }

  private get hasLeft(): boolean {
    const since = Math.max(this.leavingAt, this.lastResponseAt);
    return this.options.clock.now() - since > LEAVING_RESPONSE_MILLIS;
  }

  /** True once another incarnation responds in place of this one. */
  get isReplaced(): boolean {
    return this.replacedAt !== Infinity;
  }

  /**
   * True if no other incarnation can respond to the calls sent now: a restart
   * ends all connections, but a worker may also close them after each response.
   */
  private get isIdentityConfirmed(): boolean {
    const {worker, clock} = this.options;
    if (worker.endedConnections === this.confirmedConnections) return true;
    if (!this.hasRunList) return false;
    return clock.now() - this.lastResponseAt < MINIMUM_RESTART_MILLIS;
  }

  /**
   * Resolves to true if the worker, as this incarnation, answers the poll that
   * is in progress or the next one.
   */
  async checkResponse(): Promise<boolean> {
    if (this.closed || this.isReplaced) return false;
    await this.nextPollEnd();
    return this.isLastPollAnswered && !this.closed;
  }

  private nextPollEnd(): Promise<void> {
    return new Promise(resolve => {
      this.pollWaiters.push(resolve);
      this.endPause?.();
    });
  }

  /** The number of polls that the worker has answered. */
  get answeredPollCount(): number {
    return this.answeredPolls;
  }

  /** Undefined until the worker has listed its runs. */
  get runs(): readonly WorkerRun[] | undefined {
    return this.hasRunList ? this.running : undefined;
  }

  get startingNames(): string[] {
    return [...this.starting.keys()];
  }

  get pendingEnds(): WorkerRunEnd[] {
    return [...this.ends.values()];
  }

  /** Returns and clears the results of starts since the last call. */
  takeResults(): RunStartResult[] {
    const {results} = this;
    this.results = [];
    return results;
  }

  /** Puts back results that did not reach the owner. */
  returnResults(results: readonly RunStartResult[]): void {
    this.results.unshift(...results);
  }

  open(): void {
    void this.raiseTokenAndPoll();
  }

  private async raiseTokenAndPoll(): Promise<void> {
    const {token, formerToken = 0} = this.options;
    if (await token.raiseAbove(formerToken)) await this.pollUntilClosed();
  }

  close(reason: string): void {
    this.closed = true;
    this.endPause?.();
    this.abandonAwaitedPolls();
    for (const resolve of this.pollWaiters.splice(0)) resolve();
    this.options.worker.close(reason);
  }

  private abandonAwaitedPolls(): void {
    for (const awaited of this.awaitedPolls) awaited.resolve(false);
    this.awaitedPolls.clear();
  }

  /** Drops ends up to the number, which the owner has made durable. */
  acknowledge(number: number): void {
    if (number <= this.acknowledged) return;
    this.acknowledged = number;
    for (const known of this.ends.keys()) {
      if (known <= number) this.ends.delete(known);
    }
    this.endPause?.();
  }

  /** Extends the lease that the owner has granted, on the worker's clock. */
  extendLease(end: number): void {
    this.lease.grant(end);
    if (!this.isLeaseAwaited) return;
    this.isLeaseAwaited = false;
    this.endPause?.();
  }

  /** Records that the owner sent a message. */
  recordOwnerMessage(): void {
    this.lastOwnerMessageAt = this.options.clock.now();
  }

  /** Adds traits, sent by the owner, of runs that were started earlier. */
  addTraits(traits: readonly RunTraits[]): void {
    for (const each of traits) {
      this.traits.set(runKey(each.task, each.run), each);
    }
  }

  start(command: StartCommand): void {
    const name = runKey(command.task, command.run);
    if (this.starting.has(name) || this.closed) return;
    const {task, run, fills, tailTargetMillis} = command;
    this.traits.set(name, {task, run, fills, tailTargetMillis});
    this.starting.set(name, command);
    void this.executeStart(name, command);
  }

  stop({task, run}: StopCommand): void {
    const name = runKey(task, run);
    if (this.stopping.has(name) || this.closed || this.isReplaced) return;
    this.stopping.add(name);
    void this.executeStop(name, task, run);
  }

  private async executeStart(
    name: string,
    command: StartCommand,
  ): Promise<void> {
    const refusal = await this.tryStart(name, command);
    // The start remains listed as in progress while it is undecided.
    if (refusal === undefined) return;
    this.starting.delete(name);
    if (this.closed) return;
    // Whether a start that was sent took effect shows at the new incarnation.
    if (this.isReplaced && this.sentStarts.has(name)) return;
    const {task, run} = command;
    this.options.logger.event(Events.START_SETTLED, {
      task,
      run,
      refusal,
      incarnation: this.incarnation,
    });
    if (refusal === '') return;
    this.results.push({task, run, refusal});
    this.options.observer.onChange();
  }

  /**
   * Returns "" if the worker has the run, else why the run can never begin.
   * Returns undefined if this agent can't find out.
   */
  private async tryStart(
    name: string,
    command: StartCommand,
  ): Promise<string | undefined> {
    const expirations = this.reportedExpirations;
    if (this.sentStarts.has(name)) {
      if (!(await this.awaitListing(name))) return StartRefusal.REPLACED;
      if (this.isListed(name)) return '';
    }
    await this.confirmIdentity();
    if (this.closed || this.isReplaced) return StartRefusal.REPLACED;
    const leaseEnd = this.silent ? undefined : this.lease.end;
    // The owner counts runs as ended once the expired lease was reported.
    const isOutdated = expirations !== this.reportedExpirations;
    if (isOutdated || leaseEnd === undefined) {
      return this.refuse(name, StartRefusal.LEASE_ENDED);
    }
    if (this.report.draining) return this.refuse(name, StartRefusal.REPLACED);
    return this.sendStart(name, command, leaseEnd);
  }

  /** The agent's own refusal is valid only if no start was ever sent. */
  private async refuse(
    name: string,
    refusal: string,
  ): Promise<string | undefined> {
    const sentToken = this.sentStarts.get(name);
    return sentToken === undefined
      ? refusal
      : this.settleStart(name, sentToken);
  }

  private async sendStart(
    name: string,
    command: StartCommand,
    leaseEnd: number,
  ): Promise<string | undefined> {
    const {worker, token} = this.options;
    const {task, run, payload, checkpoint, ticket} = command;
    const fencingToken = token.value;
    this.lease.recordSentEnd(leaseEnd);
    this.sentStarts.set(name, fencingToken);
    try {
      const refusal = await worker.start({
        task,
        run,
        payload,
        checkpoint,
        ticket,
        leaseEnd,
        fencingToken,
      });
      // List the end of such a run before the owner gets the result.
      if (refusal === StartRefusal.CLOSED) await this.awaitListing(name);
      return refusal ?? '';
    } catch {
      return this.settleStart(name, fencingToken);
    }
  }

  /**
   * Settles a start without a response, which may still be carried out. Once
   * the worker has seen a higher token the start is void, and the run list
   * shows whether the run began before.
   */
  private async settleStart(
    name: string,
    sentToken: number,
  ): Promise<string | undefined> {
    if (!(await this.options.token.raiseAbove(sentToken))) return undefined;
    if (!(await this.awaitListing(name))) return StartRefusal.REPLACED;
    return this.isListed(name) ? '' : StartRefusal.FENCED;
  }

  /** Resolves once the identity is confirmed, or the worker is silent. */
  private async confirmIdentity(): Promise<void> {
    while (!this.isIdentityConfirmed && !this.silent && !this.closed) {
      await this.nextPollEnd();
    }
  }

  private isListed(name: string): boolean {
    const isNamed = (each: {task: string; run: number}): boolean =>
      runKey(each.task, each.run) === name;
    return this.running.some(isNamed) || this.pendingEnds.some(isNamed);
  }

  private async executeStop(
    name: string,
    task: string,
    run: number,
  ): Promise<void> {
    const {worker, token} = this.options;
    try {
      await worker.stop({task, run, fencingToken: token.value});
      await this.awaitListing(name);
      this.reportStopped(name, task, run);
    } catch (error) {
      // The owner repeats the stop for as long as it is wanted.
      const reason = messageOf(error);
      this.options.logger.event(Events.AGENT_CALL_FAILED, {task, run, reason});
    } finally {
      this.stopping.delete(name);
    }
  }

  /** Reports a stopped run as closed if it is neither running nor ended. */
  private reportStopped(name: string, task: string, run: number): void {
    if (this.isListed(name)) return;
    this.results.push({task, run, refusal: StartRefusal.CLOSED});
    this.options.observer.onChange();
  }

  /**
   * Resolves to true when a poll that began after this call has listed the run,
   * or has listed all runs and ends. A list with the maximum of ends tells
   * nothing about a run that it does not name; others follow once these are
   * acknowledged. Resolves to false when the session was closed or the worker
   * replaced before.
   */
  private awaitListing(name: string): Promise<boolean> {
    if (this.closed || this.isReplaced) return Promise.resolve(false);
    return new Promise(resolve => {
      // The next response may belong to a poll that began before this call.
      this.awaitedPolls.add({name, target: this.answeredPolls + 2, resolve});
      this.endPause?.();
    });
  }

  private resolveAwaitedPolls({ends}: WorkerRunList): void {
    const isComplete = ends.length < MAXIMUM_LISTED_ENDS;
    for (const awaited of this.awaitedPolls) {
      if (awaited.target > this.answeredPolls) continue;
      if (!isComplete && !this.isListed(awaited.name)) continue;
      this.awaitedPolls.delete(awaited);
      awaited.resolve(true);
    }
  }

  /** Polls the worker until closed, extending its lease. */
  private async pollUntilClosed(): Promise<void> {
    while (!this.closed && !this.isReplaced) {
      const answered = await this.pollOnce();
      if (this.closed) return;
      if (!answered) await this.pause(FAILED_PAUSE_MILLIS);
      else if (this.isPollUrgent) await this.pause(PENDING_PAUSE_MILLIS);
    }
  }

  /** True if the next poll must not wait for a run to end. */
  private get isPollUrgent(): boolean {
    return this.ends.size > 0 || this.isLeaseAwaited;
  }

  /**
   * Until the incarnation is confirmed, a poll carries neither a lease nor
   * acknowledgements: another incarnation under the same id has its own clock
   * and numbers of ends.
   */
  private async pollOnce(): Promise<boolean> {
    const {worker, token} = this.options;
    const {isIdentityConfirmed} = this;
    const {endedConnections} = worker;
    const isExtending = isIdentityConfirmed && !this.silent;
    const leaseEnd = isExtending ? this.lease.end : undefined;
    if (leaseEnd !== undefined) this.lease.recordSentEnd(leaseEnd);
    const isAwaited = this.awaitedPolls.size > 0;
    const isWaiting = isIdentityConfirmed && !isAwaited && !this.isPollUrgent;
    try {
      const listing = await worker.pollRuns({
        fencingToken: token.value,
        acknowledgedEnd: isIdentityConfirmed ? this.acknowledged : 0,
        leaseEnd,
        waitMillis: isWaiting ? POLL_MILLIS : 0,
      });
      if (!isListOf(listing, this.report)) {
        this.recordReplacement(listing);
        return false;
      }
      this.isLastPollAnswered = true;
      this.confirmedConnections = endedConnections;
      this.applyRunList(listing);
      return true;
    } catch (error) {
      this.isLastPollAnswered = false;
      this.recordPollFailure(error);
      return false;
    } finally {
      for (const resolve of this.pollWaiters.splice(0)) resolve();
    }
  }

  /**
   * Ends all calls: the worker has restarted under its id. The owner hears of
   * the new incarnation once it reports, since it may be of another kind.
   */
  private recordReplacement({workerStartedAt}: WorkerRunList): void {
    const {clock, logger, observer} = this.options;
    this.isLastPollAnswered = false;
    this.replacedAt = clock.now();
    this.silent = true;
    logger.event(Events.WORKER_REPLACED, {
      incarnation: this.incarnation,
      startedAt: workerStartedAt,
    });
    this.abandonAwaitedPolls();
    observer.onChange();
  }

  private applyRunList(listing: WorkerRunList): void {
    const {clock, logger, observer} = this.options;
    this.answeredPolls++;
    this.lastResponseAt = clock.now();
    this.lease.recordClockReading(listing.workerClock);
    const hasChanged = this.silent || !this.hasRunList;
    if (this.silent) {
      logger.event(Events.WORKER_ANSWERS);
      this.isLeaseAwaited = true;
    }
    this.silent = false;
    this.hasRunList = true;
    this.running = listing.running;
    const hasEnded = this.addEnds(listing.ends);
    this.resolveAwaitedPolls(listing);
    this.removeEndedRuns();
    this.protectTailLatencies();
    if (hasChanged || hasEnded) observer.onChange();
    else observer.onRunsListed();
  }

  /** Returns true if any of the ends is new. */
  private addEnds(ends: readonly WorkerRunEnd[]): boolean {
    const before = this.ends.size;
    for (const end of ends) {
      if (end.number > this.acknowledged) this.ends.set(end.number, end);
    }
    return this.ends.size > before;
  }

  private recordPollFailure(error: unknown): void {
    const {clock, logger, observer} = this.options;
    const refused = error instanceof WorkerRefusedError;
    if (!refused) this.confirmedConnections = -1;
    if (this.silent || refused) return;
    if (clock.now() - this.lastResponseAt < MAXIMUM_SILENCE_MILLIS) return;
    this.silent = true;
    const reason = messageOf(error);
    logger.event(Events.WORKER_SILENT, {
      reason,
      silentMillis: this.silentMillis,
    });
    observer.onChange();
  }

  /**
   * While no owner throttles best-effort runs, the agent throttles them all
   * alike, so that latency-critical runs meet their targets.
   */
  private protectTailLatencies(): void {
    const now = this.options.clock.now();
    if (now - this.lastOwnerMessageAt < OWNER_SILENT_MILLIS) return;
    if (now - this.throttledAt < THROTTLE_PERIOD_MILLIS) return;
    this.throttledAt = now;
    const tails = this.running.flatMap(run => {
      const traits = this.traits.get(runKey(run.task, run.run));
      if (!traits || traits.tailTargetMillis === 0) return [];
      return [{tailMillis: run.measure, targetMillis: traits.tailTargetMillis}];
    });
    const percent = Math.round(this.throttle.decide(tails));
    for (const {task, run} of this.running) {
      if (!this.traits.get(runKey(task, run))?.fills) continue;
      this.pace({task, run, percent});
    }
  }

  /** Limits a run to a processor share, in percent. */
  pace({task, run, percent}: Omit<PaceCommand, 'incarnation'>): void {
    const name = runKey(task, run);
    // An unknown pace is always sent: a previous agent may have set another.
    if (this.closed || this.isReplaced) return;
    if (this.paced.get(name) === percent) return;
    this.paced.set(name, percent);
    void this.executePace(name, task, run, percent);
  }

  private async executePace(
    name: string,
    task: string,
    run: number,
    percent: number,
  ): Promise<void> {
    const {worker, token, logger} = this.options;
    try {
      await worker.pace({task, run, percent, fencingToken: token.value});
    } catch (error) {
      // Forgets the pace so that the next decision is sent even if it is equal.
      if (this.paced.get(name) === percent) this.paced.delete(name);
      const reason = messageOf(error);
      logger.event(Events.AGENT_CALL_FAILED, {task, run, reason});
    }
  }

  private removeEndedRuns(): void {
    const present = new Set(
      this.running.map(({task, run}) => runKey(task, run)),
    );
    for (const name of this.paced.keys()) {
      if (!present.has(name)) this.paced.delete(name);
    }
    for (const name of this.listedTraits) {
      if (present.has(name)) continue;
      this.listedTraits.delete(name);
      this.traits.delete(name);
    }
    for (const name of present) {
      if (this.traits.has(name)) this.listedTraits.add(name);
    }
  }

  /** Waits, but ends early when the worker has to be polled at once. */
  private pause(millis: number): Promise<void> {
    return new Promise(resolve => {
      const finish = (): void => {
        timer.cancel();
        this.endPause = undefined;
        resolve();
      };
      const timer = this.options.clock.schedule(millis, finish);
      this.endPause = finish;
    });
  }
}
