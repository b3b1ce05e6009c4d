import {CapacityLedger} from '../decisions/capacity/capacity_ledger.js';
import {TailGuard} from '../decisions/eviction/tail_guard.js';
import type {TailPolicy} from '../decisions/eviction/tail_policy.js';
import {Events} from '../observability/events.js';
import type {Logger} from '../observability/logger.js';
import {Metrics} from '../observability/metrics.js';
import type {Executor} from '../backends/executor.js';
import type {Worker} from '../backends/worker.js';
import type {
  DumpStateReply,
  ExecutorReport,
  QueryAttemptsReply,
  QueryAttemptsRequest,
  ServeReply,
  ServeRequest,
  StartAttemptsReply,
  StartAttemptsRequest,
  StopAttemptsReply,
  StopAttemptsRequest,
} from '../protocol/generated/burdockmoor.js';
import type {AgentHandlers, LinkFactory} from '../protocol/links.js';
import type {Clock} from '../utilities/clock.js';
import type {Random} from '../utilities/random.js';
import {AgentAlarms} from './agent_alarms.js';
import {EXECUTOR_HOLDER} from './agent_context.js';
import type {
  AgentContext,
  AgentIdentity,
  AgentSettings,
  ExecutorConfiguration,
} from './agent_context.js';
import {AgentLoop} from './agent_loop.js';
import type {AgentEvent} from './agent_loop.js';
import {AgentMetrics, registerVmGauges} from './agent_metrics.js';
import {AttemptTable} from './attempt_table.js';
import {ClosedAttempts} from './closed_attempts.js';
import {AttemptCloser} from './commands/attempt_closer.js';
import {AttemptStarter} from './commands/attempt_starter.js';
import {AttemptStopper} from './commands/attempt_stopper.js';
import {GracefulShutdown} from './commands/graceful_shutdown.js';
import {HeartbeatReplies} from './commands/heartbeat_replies.js';
import {QueryAttempts} from './commands/query_attempts.js';
import {CapacityReclaimer} from './commands/capacity_reclaimer.js';
import {ServeRequests} from './commands/serve_requests.js';
import {StartAttempts} from './commands/start_attempts.js';
import {StopAttempts} from './commands/stop_attempts.js';
import {EntryDirectory} from './entry_directory.js';
import {HeartbeatSender} from './heartbeat_sender.js';
import {LeaseKeeper} from './lease_keeper.js';
import {noExecutorReply} from './queries/no_executor_reply.js';
import {heartbeatRequest} from './queries/heartbeat_request.js';
import {stateDump} from './queries/state_dump.js';
import {ReportSender} from './report_sender.js';
import {ShardLeases} from './shard_leases.js';
import {CLOSED_ATTEMPT_RETENTION_MILLIS} from './start_checks.js';
import {TailProtection} from './tail_protection.js';
import {WorkerClock} from './worker_clock.js';
import {WorkerMonitor} from './worker_monitor.js';

const SHUTDOWN_DEADLINE_MILLIS = 10_000;

/** Options of an agent. The caller closes the objects that it passes in. */
export interface AgentOptions extends AgentIdentity {
  /** Addresses of entries to connect to before any other is known. */
  readonly entryAddresses: readonly string[];
  /** Undefined on a VM without an executor. */
  readonly executorConfiguration?: ExecutorConfiguration;
  readonly executor?: Executor;
  readonly worker: Worker;
  readonly links: LinkFactory;
  readonly settings: AgentSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics?: Metrics;
  /** Protects the service's tail latency; a TailGuard by default. */
  readonly tailPolicy?: TailPolicy;
  readonly shutdownDeadlineMillis?: number;
}

/** The agent of one VM: creates its components and passes events to them. */
export class AgentProcess implements AgentHandlers {
  private readonly context: AgentContext;
  private readonly loop: AgentLoop;
  private readonly directory: EntryDirectory;
  private readonly heartbeatSender: HeartbeatSender;
  private readonly heartbeatReplies: HeartbeatReplies;
  private readonly closer: AttemptCloser;
  private readonly stopper: AttemptStopper;
  private readonly monitor: WorkerMonitor;
  private readonly leaseKeeper: LeaseKeeper;
  private readonly reportSender: ReportSender;
  private readonly roomMaker: CapacityReclaimer;
  private readonly starter: AttemptStarter;
  private readonly startHandler: StartAttempts;
  private readonly serveHandler: ServeRequests | undefined;
  private readonly alarms: AgentAlarms;
  private sequence = 0;

  constructor(private readonly options: AgentOptions) {
    const context = createContext(options);
    this.context = context;
    this.loop = new AgentLoop(options.clock);
    this.directory = new EntryDirectory(options.entryAddresses, {
      ...options,
      onReply: (_, reply, sentAt) => this.loop.receiveReply(reply, sentAt),
    });
    this.heartbeatSender = new HeartbeatSender(context, this.directory, () =>
      this.buildHeartbeat(),
    );
    this.alarms = new AgentAlarms(context, this.directory);
    this.closer = new AttemptCloser(context);
    this.stopper = new AttemptStopper(context, this.closer);
    this.monitor = new WorkerMonitor(context, this.closer);
    this.leaseKeeper = new LeaseKeeper(context, this.stopper);
    this.heartbeatReplies = new HeartbeatReplies(
      context,
      this.directory,
      this.heartbeatSender,
      this.leaseKeeper,
    );
    this.reportSender = new ReportSender(context, this.directory, this.closer);
    this.roomMaker = new CapacityReclaimer(context, this.stopper);
    this.starter = new AttemptStarter(
      context,
      this.closer,
      this.monitor,
      this.roomMaker,
    );
    const {metrics: registry = new Metrics()} = options;
    const metrics = new AgentMetrics(registry);
    registerVmGauges(registry, context);
    const protection = createTailProtection(options, context, this.stopper);
    this.startHandler = new StartAttempts(
      context,
      this.heartbeatSender,
      this.starter,
      metrics,
      protection,
    );
    this.serveHandler = createServeHandler(
      options,
      context,
      protection,
      metrics,
    );
  }

  /** Starts to communicate with the worker and the entries. */
  start(): void {
    const {agentId, incarnation, logger} = this.options;
    logger.event(Events.PROCESS_STARTED, {role: 'agent', agentId, incarnation});
    void this.loop.start(event => this.handleEvent(event));
  }

  /** Shuts down gracefully; resolves at the latest after the deadline. */
  async stop(reason: string): Promise<void> {
    const {logger, shutdownDeadlineMillis = SHUTDOWN_DEADLINE_MILLIS} =
      this.options;
    if (this.context.stopping) return;
    logger.event(Events.PROCESS_STOPPING, {reason});
    const shutdown = new GracefulShutdown(
      this.context,
      this.heartbeatSender,
      this.stopper,
      this.reportSender,
      this.serveHandler,
    );
    await shutdown.execute(reason, shutdownDeadlineMillis);
    this.loop.stop();
    this.directory.close(reason);
  }

  /** Stops at once, without telling the entries. */
  kill(): void {
    this.loop.stop();
    this.directory.close('killed');
  }

  async serve(request: ServeRequest): Promise<ServeReply> {
    if (!this.serveHandler) return noExecutorReply(request);
    return this.serveHandler.execute(request);
  }

  async startAttempts(
    request: StartAttemptsRequest,
  ): Promise<StartAttemptsReply> {
    return this.startHandler.execute(request);
  }

  async stopAttempts(request: StopAttemptsRequest): Promise<StopAttemptsReply> {
    return new StopAttempts(this.context, this.stopper).execute(request);
  }

  async queryAttempts(
    request: QueryAttemptsRequest,
  ): Promise<QueryAttemptsReply> {
    return new QueryAttempts(this.context).execute(request);
  }

  async dumpState(): Promise<DumpStateReply> {
    const entries = this.directory.addresses();
    return {json: stateDump(this.context, this.executorReports(), entries)};
  }

  private handleEvent(event: AgentEvent): void {
    if (event.type === 'tick') this.tick(event.now);
    else this.heartbeatReplies.applyReply(event.reply, event.sentAt);
  }

  private tick(now: number): void {
    this.monitor.tick(now);
    this.leaseKeeper.tick(now);
    this.stopper.tick();
    this.roomMaker.tick(now);
    this.starter.tick(now);
    this.serveHandler?.tick(now);
    this.reportSender.tick(now);
    this.heartbeatSender.tick(now);
    this.alarms.tick(now);
  }

  private buildHeartbeat() {
    const {executorConfiguration} = this.options;
    const teams = executorConfiguration ? [executorConfiguration.team] : [];
    const executors = this.executorReports();
    const interference = this.serveHandler?.interference() ?? [];
    const service = {executors, interference, teams};
    return heartbeatRequest(this.context, service, this.sequence++);
  }

  private executorReports(): ExecutorReport[] {
    return this.serveHandler ? [this.serveHandler.report()] : [];
  }
}

function createContext(options: AgentOptions): AgentContext {
  const {agentId, incarnation, failureDomain, region, rack, address} = options;
  const {clock, random, logger, worker, settings} = options;
  const ledger = new CapacityLedger();
  const {executorConfiguration} = options;
  if (executorConfiguration) {
    ledger.adopt(EXECUTOR_HOLDER, executorConfiguration.reserved);
  }
  return {
    identity: {agentId, incarnation, failureDomain, region, rack, address},
    clock,
    random,
    logger,
    worker,
    settings,
    ledger,
    attempts: new AttemptTable(),
    closed: new ClosedAttempts(CLOSED_ATTEMPT_RETENTION_MILLIS),
    leases: new ShardLeases(),
    workerClock: new WorkerClock(),
    workerStatus: undefined,
    workerStatusAt: -Infinity,
    stopping: false,
  };
}

function createTailProtection(
  {executorConfiguration, tailPolicy = new TailGuard()}: AgentOptions,
  context: AgentContext,
  stopper: AttemptStopper,
): TailProtection | undefined {
  if (!executorConfiguration) return undefined;
  const {service} = executorConfiguration;
  return new TailProtection(context, service, tailPolicy, stopper);
}

function createServeHandler(
  {executorConfiguration, executor}: AgentOptions,
  context: AgentContext,
  protection: TailProtection | undefined,
  metrics: AgentMetrics,
): ServeRequests | undefined {
  if (!executorConfiguration || !executor || !protection) return undefined;
  return new ServeRequests(
    context,
    executorConfiguration,
    executor,
    protection,
    metrics,
  );
}
