import type {LeasedWorker, WorkerReport} from '../../backends/leased_worker.js';
import type {TransactionalStore} from '../../backends/transactional_store.js';
import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';
import type {WorkerCommands} from '../../protocol/generated/burdockmoor.js';
import type {PoolLinkFactory} from '../../protocol/pool_links.js';
import type {Clock} from '../../utilities/clock.js';
import {FencingToken} from './fencing_token.js';
import {IncarnationProbe} from './incarnation_probe.js';
import {OwnerConnection} from './owner_connection.js';
import type {OwnerConnectionOptions} from './owner_connection.js';
import {UpdateComposer} from './update_composer.js';
import {WorkerSession} from './worker_session.js';
import {
  maximumElapsedMillis,
  readClocks,
} from '../../utilities/clock_readings.js';
import type {ClockReadings} from '../../utilities/clock_readings.js';

/** Period of the updates that renew the lease. */
const UPDATE_MILLIS = 450;
/** A refreshed run list alone is sent once the last update is this old. */
const RUN_LIST_MILLIS = 300;
/** Maximum of updates awaiting a reply; older ones no longer grant a lease. */
const MAXIMUM_OPEN_UPDATES = 50;
/** Reports of further incarnations are ignored; workers repeat theirs. */
const MAXIMUM_PROBES = 4;

export interface WorkflowAgentOptions {
  readonly processName: string;
  readonly store: TransactionalStore;
  readonly links: PoolLinkFactory;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly maximumLeaseMillis: number;
  readonly seeds: readonly string[];
  /** The store key that this agent writes to obtain its fencing tokens. */
  readonly agentKey: string;
  /** Unique to each process run. */
  readonly nonce: string;
  readonly owner: Pick<
    OwnerConnectionOptions,
    'ownerKey' | 'entryPrefix' | 'decodeOwner' | 'decodeEntry'
  >;
  readonly openWorker: (report: WorkerReport) => LeasedWorker;
  /** Called with the worker's id and the reason when a report is refused. */
  readonly onReportRefused: (id: string, reason: string) => void;
}

/** When an update was sent, on the clocks of the worker and of the agent. */
interface SentUpdate {
  readonly workerNow: number | undefined;
  readonly sentAt: ClockReadings;
}

/**
 * The agent beside one worker, and its only caller. It carries out the decisions
 * of the pool's owner and extends the worker's lease while the owner responds.
 */
export class WorkflowAgent {
  private readonly connection: OwnerConnection;
  private readonly token: FencingToken;
  private report: WorkerReport | undefined;
  private session: WorkerSession | undefined;
  /** Probes of reported incarnations, by their names. */
  private readonly probes = new Map<string, IncarnationProbe>();
  private sequence = 0;
  private lastUpdateAt = -Infinity;
  /** Updates whose reply may still extend the lease, by sequence. */
  private readonly openUpdates = new Map<number, SentUpdate>();
  private updateScheduled = false;
  private closed = false;
  private composer: UpdateComposer;
  /**
   * Since then only the present session has extended a lease: earlier runs of
   * this process have ended, and so have earlier sessions.
   */
  private exclusiveSince: number;

  constructor(private readonly options: WorkflowAgentOptions) {
    const {store, links, clock, logger, seeds, owner} = options;
    const {agentKey, nonce} = options;
    this.token = new FencingToken({store, key: agentKey, nonce, clock, logger});
    this.exclusiveSince = clock.now();
    this.composer = this.createComposer();
    this.connection = new OwnerConnection({
      store,
      links,
      clock,
      logger,
      seeds,
      ...owner,
      onAttached: () => {
        this.sequence = 0;
        this.openUpdates.clear();
        this.composer = this.createComposer();
        this.sendUpdate();
      },
      onCommands: commands => this.applyCommands(commands),
    });
  }

  private createComposer(): UpdateComposer {
    const {processName, clock} = this.options;
    const exclusiveMillis = (): number => clock.now() - this.exclusiveSince;
    return new UpdateComposer({processName, clock, exclusiveMillis});
  }

  start(): void {
    this.connection.start();
    void this.openFirstSession();
    this.tick();
  }

  close(reason: string): void {
    this.closed = true;
    this.token.close();
    this.connection.close(reason);
    this.session?.close(reason);
    for (const probe of this.probes.values()) probe.close(reason);
  }

  /** Returns the state of this agent for operators. */
  dumpState(): object {
    const {session, report} = this;
    return {
      processName: this.options.processName,
      fencingToken: this.token.value,
      incarnation: report?.incarnation,
      draining: report?.draining,
      silentMillis: session?.silentMillis,
      running: session?.runs?.map(({task, run, percent}) => ({
        task,
        run,
        percent,
      })),
      starting: session?.startingNames,
      endsToAcknowledge: session?.pendingEnds.length,
    };
  }

  /**
   * Applies a report unless it is outdated. One that would replace the session
   * has to be confirmed by the worker first.
   */
  applyReport(report: WorkerReport): void {
    const before = this.report;
    if (this.session && this.wouldReplace(report))
      return void this.probe(report);
    if (before && !isNewer(report, before)) return;
    this.acceptReport(report);
  }

  private acceptReport(report: WorkerReport, worker?: LeasedWorker): void {
    const before = this.report;
    const wasDraining = before?.draining ?? false;
    this.report = report;
    if (worker || before?.incarnation !== report.incarnation)
      this.openSession(worker);
    else if (this.session) this.session.report = report;
    if (report.draining !== wasDraining) {
      this.options.logger.event(Events.WORKER_CHANGED, {
        incarnation: report.incarnation,
        draining: report.draining,
        remainingMillis: report.remainingMillis,
      });
    }
    this.scheduleUpdate();
  }

  /** Marks the worker with this id as draining once it announces its end. */
  applyLeaving(id: string): void {
    const {report} = this;
    if (report?.id !== id) return;
    this.session?.recordLeaving();
    if (report.draining) return;
    this.applyReport({
      ...report,
      draining: true,
      sequence: report.sequence + 1,
    });
  }

  /** Replaces the session by one with the incarnation, if the worker is it. */
  private async probe(report: WorkerReport): Promise<void> {
    const {probes, token} = this;
    const {incarnation} = report;
    if (probes.has(incarnation) || probes.size >= MAXIMUM_PROBES) return;
    const {openWorker, clock, onReportRefused} = this.options;
    const worker = openWorker(report);
    const fencingToken = token.value;
    const probe = new IncarnationProbe({report, worker, fencingToken, clock});
    probes.set(incarnation, probe);
    const isConfirmed = (await probe.run()) && !(await this.isWorkerAlive());
    probes.delete(incarnation);
    if (isConfirmed && !this.closed && this.wouldReplace(report))
      return this.acceptReport(report, worker);
    probe.close('the reported incarnation does not replace the present one');
    if (!this.closed)
      onReportRefused(report.id, 'the worker did not confirm it');
  }

  private wouldReplace({incarnation}: WorkerReport): boolean {
    const {report, session} = this;
    return report?.incarnation !== incarnation || !!session?.isReplaced;
  }

  /**
   * True if the worker goes on, so that no other incarnation succeeds it. Start
   * times don't tell: the time of day may have gone back.
   */
  private async isWorkerAlive(): Promise<boolean> {
    return (await this.session?.checkResponse()) ?? false;
  }

  /** The worker is passed if calls to it are open already. */
  private openSession(worker?: LeasedWorker): void {
    const {report, token} = this;
    if (!report || token.value === 0 || this.closed) return;
    const {openWorker, clock, logger, maximumLeaseMillis} = this.options;
    const formerToken = this.session ? token.value : undefined;
    if (this.session) {
      this.session.close('another incarnation has reported');
      this.exclusiveSince = clock.now();
    }
    this.openUpdates.clear();
    logger.event(Events.INCARNATION_FOUND, {
      incarnation: report.incarnation,
      address: report.address,
      milliprocessors: report.room.milliprocessors,
    });
    this.session = new WorkerSession({
      report,
      worker: worker ?? openWorker(report),
      token,
      clock,
      logger,
      maximumLeaseMillis,
      exclusiveSince: this.exclusiveSince,
      formerToken,
      observer: {
        onChange: () => this.scheduleUpdate(),
        onRunsListed: () => this.handleRunList(),
      },
    });
    this.session.open();
  }

  /** Nothing may be sent to the worker without a fencing token. */
  private async openFirstSession(): Promise<void> {
    if (await this.token.raiseAbove(0)) this.openSession();
  }

  private applyCommands(commands: WorkerCommands): void {
    const {session} = this;
    if (!session) return;
    this.extendLease(session, commands);
    const {incarnation} = session;
    if (commands.incarnation === incarnation) {
      session.acknowledge(commands.durableEnd);
      this.composer.recordAcknowledged(commands.durableEnd);
    }
    if (commands.leaseMillis > 0) session.recordOwnerMessage();
    session.addTraits(commands.traits);
    for (const stop of commands.stops) {
      if (stop.incarnation === incarnation) session.stop(stop);
    }
    for (const pace of commands.paces) {
      if (pace.incarnation === incarnation) session.pace(pace);
    }
    if (!this.isCurrent(commands)) return;
    for (const start of commands.starts) {
      if (start.incarnation === incarnation) session.start(start);
    }
  }

  /**
   * The lease is counted from when the answered update was sent, and holds for
   * the incarnation that the owner names.
   */
  private extendLease(session: WorkerSession, commands: WorkerCommands): void {
    const sent = this.openUpdates.get(commands.sequence);
    for (const sequence of this.openUpdates.keys()) {
      if (sequence < commands.sequence) this.openUpdates.delete(sequence);
    }
    if (sent?.workerNow === undefined || commands.leaseMillis === 0) return;
    if (commands.incarnation !== session.incarnation) return;
    session.extendLease(sent.workerNow + commands.leaseMillis);
  }

  /**
   * True if the owner can't have given up the runs since it sent the commands,
   * which may have been delayed in a connection that was cut.
   */
  private isCurrent({sequence, starts}: WorkerCommands): boolean {
    if (starts.length === 0) return true;
    const sent = this.openUpdates.get(sequence);
    const {clock, logger, maximumLeaseMillis} = this.options;
    const ageMillis = sent
      ? maximumElapsedMillis(clock, sent.sentAt)
      : Infinity;
    if (ageMillis < maximumLeaseMillis) return true;
    for (const {task, run} of starts) {
      logger.event(Events.START_OUTDATED, {task, run, ageMillis});
    }
    return false;
  }

  private tick(): void {
    if (this.closed) return;
    const {clock} = this.options;
    clock.schedule(UPDATE_MILLIS, () => {
      if (clock.now() - this.lastUpdateAt > UPDATE_MILLIS / 2)
        this.sendUpdate();
      this.tick();
    });
  }

  private handleRunList(): void {
    const age = this.options.clock.now() - this.lastUpdateAt;
    if (age >= RUN_LIST_MILLIS) this.scheduleUpdate();
  }

  /** Sends the changes of one turn of the event loop in one update. */
  private scheduleUpdate(): void {
    if (this.updateScheduled) return;
    this.updateScheduled = true;
    setImmediate(() => {
      this.updateScheduled = false;
      this.sendUpdate();
    });
  }

  private sendUpdate(): void {
    if (this.closed) return;
    const {session} = this;
    const sequence = this.sequence + 1;
    this.lastUpdateAt = this.options.clock.now();
    const sent: SentUpdate = {
      workerNow: session?.lease.workerNow,
      sentAt: readClocks(this.options.clock),
    };
    const prepared = this.composer.prepare(sequence, session);
    if (!this.connection.send(prepared.update)) return prepared.recordUnsent();
    prepared.recordSent();
    this.sequence = sequence;
    this.openUpdates.set(sequence, sent);
    if (this.openUpdates.size <= MAXIMUM_OPEN_UPDATES) return;
    const [oldest] = this.openUpdates.keys();
    this.openUpdates.delete(oldest);
  }
}

/** Returns false for a late report of an earlier incarnation or state. */
function isNewer(report: WorkerReport, before: WorkerReport): boolean {
  if (report.incarnation === before.incarnation) {
    return report.sequence > before.sequence;
  }
  return report.startedAt >= before.startedAt;
}
