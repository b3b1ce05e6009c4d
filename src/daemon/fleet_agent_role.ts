import {randomUUID} from 'node:crypto';
import {RefusedReports} from '../agent/workflows/refused_reports.js';
import {ReportServer} from '../agent/workflows/report_server.js';
import {WorkflowAgent} from '../agent/workflows/workflow_agent.js';
import {runLeaseMillis} from '../decisions/workflows/lease_duration.js';
import {agentKey, StoreKeys} from '../protocol/store_keys.js';
import {decodeEntry, decodeOwner} from '../protocol/owner_record.js';
import type {HttpListener} from '../http/http_listener.js';
import {Events} from '../observability/events.js';
import type {Logger} from '../observability/logger.js';
import type {Metrics} from '../observability/metrics.js';
import {readPlatformSettings} from '../platform/platform_settings.js';
import type {FleetProcessSettings} from '../platform/platform_settings.js';
import {WORKER_REPORT_PREFIX} from '../platform/platform_paths.js';
import {PlatformStore} from '../platform/platform_store.js';
import {PlatformWorker} from '../platform/platform_worker.js';
import {WorkerReportReader} from '../platform/worker_reports.js';
import {GrpcPoolLinkFactory} from '../protocol/grpc_pool_links.js';
import {SystemClock} from '../utilities/clock.js';
import {
  changedSettings,
  hostAndPort,
  listenForMetrics,
} from './fleet_role_settings.js';
import {ListenerOptionsFactory} from './listener_options.js';
import type {RunningRole} from './process_runner.js';
import {createStateServer} from './state_server.js';

/** An agent on the users' platform, beside one worker. */
export class FleetAgentRole implements RunningRole {
  private readonly agent: WorkflowAgent;
  private readonly reportServer: ReportServer;
  private readonly store: PlatformStore;
  private readonly metricsListener: HttpListener;

  constructor(
    private readonly settings: FleetProcessSettings,
    private readonly logger: Logger,
    metrics: Metrics,
  ) {
    const {processName, processPort, seedHosts} = settings;
    const clock = new SystemClock();
    const refusedReports = new RefusedReports({clock, logger, metrics});
    const onReportRefused = (id: string, reason: string): void =>
      refusedReports.record(id, reason);
    this.store = new PlatformStore({address: settings.storeAddress});
    this.agent = new WorkflowAgent({
      processName,
      store: this.store,
      links: new GrpcPoolLinkFactory(),
      clock,
      logger,
      maximumLeaseMillis: runLeaseMillis(settings.maximumLeaseMillis),
      seeds: seedHosts.map(host => `${host}:${processPort}`),
      agentKey: agentKey(processName),
      nonce: randomUUID(),
      owner: {
        ownerKey: StoreKeys.OWNER,
        entryPrefix: StoreKeys.ENTRY_PREFIX,
        decodeOwner,
        decodeEntry,
      },
      openWorker: report =>
        new PlatformWorker({address: report.address, id: report.id}),
      onReportRefused,
    });
    const listeners = new ListenerOptionsFactory(settings, logger, metrics);
    this.metricsListener = createStateServer(
      {
        metrics,
        dumpState: async () => JSON.stringify(this.agent.dumpState()),
      },
      listeners.createStateServerOptions(),
    );
    const reportReader = new WorkerReportReader({
      service: () => this.workerService(),
      hosts: settings.workerHosts,
      onRefused: onReportRefused,
    });
    this.reportServer = new ReportServer({
      prefix: WORKER_REPORT_PREFIX,
      read: (id, text) => reportReader.read(id, text),
      onReport: report => this.agent.applyReport(report),
      onLeaving: id => this.agent.applyLeaving(id),
      ...listeners.create('reports', 'reportConnections'),
    });
  }

  async start(): Promise<void> {
    listenForMetrics(this.metricsListener, this.settings.ip, this.logger);
    const {reportAddress, failureDomain} = this.settings;
    if (reportAddress !== undefined) {
      const {host, port} = hostAndPort(reportAddress);
      await this.reportServer.listen(host, port);
    }
    this.agent.start();
    this.logger.event(Events.PROCESS_STARTED, {role: 'agent', failureDomain});
  }

  /** Leaves runs at the worker running; the next agent process adopts them. */
  async stop(reason: string): Promise<void> {
    this.reportServer.close();
    this.metricsListener.close();
    this.agent.close(reason);
    this.store.close(reason);
  }

  /** The settings may have changed since the start, without a signal. */
  private workerService(): string | undefined {
    try {
      return readPlatformSettings().workerService;
    } catch {
      // A reload reports unreadable settings; until then the former ones hold.
      return this.settings.workerService;
    }
  }

  changedSettings(): string[] {
    return changedSettings(this.settings);
  }
}
