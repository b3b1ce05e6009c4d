import {randomUUID} from 'node:crypto';
import {runLeaseMillis} from '../decisions/workflows/lease_duration.js';
import {PoolEntry} from '../entry/workflows/pool_entry.js';
import {ApiServer} from '../entry/http/api_server.js';
import {HttpListener} from '../http/http_listener.js';
import {sendResponse} from '../http/send_response.js';
import {Events} from '../observability/events.js';
import type {Logger} from '../observability/logger.js';
import type {Metrics} from '../observability/metrics.js';
import {
  CONFIGURATION_KEY,
  decodeConfiguration,
  evacuatedDomainOf,
  EVACUATION_PREFIX,
  OPERATOR_PREFIX,
} from '../platform/operator_documents.js';
import type {FleetProcessSettings} from '../platform/platform_settings.js';
import {HEALTH_PATH} from '../platform/platform_paths.js';
import {PlatformStore} from '../platform/platform_store.js';
import {
  decodeSubmission,
  encodeState,
  encodeExcess,
  encodeWaiting,
  isWorkflowId,
} from '../platform/submissions.js';
import {GrpcPoolLinkFactory} from '../protocol/grpc_pool_links.js';
import type {GrpcServer} from '../protocol/grpc_server.js';
import {SystemClock} from '../utilities/clock.js';
import {answerExplanation} from './explanation_responses.js';
import {
  changedSettings,
  hostAndPort,
  listenForMetrics,
  ownerCapacity,
} from './fleet_role_settings.js';
import {ListenerOptionsFactory} from './listener_options.js';
import {createProcessServer} from './process_components.js';
import type {RunningRole} from './process_runner.js';
import {createStateServer} from './state_server.js';

/** Lets responses finish; the balancer reacts after two failed checks. */
const STOP_DELAY_MILLIS = 2_300;

/** An entry on the users' platform. */
export class FleetEntryRole implements RunningRole {
  private readonly entry: PoolEntry;
  private readonly processServer: GrpcServer;
  private readonly callerServer: ApiServer;
  private readonly healthListener: HttpListener;
  private readonly metricsListener: HttpListener;

  constructor(
    private readonly settings: FleetProcessSettings,
    private readonly logger: Logger,
    metrics: Metrics,
  ) {
    this.entry = new PoolEntry({
      processName: settings.processName,
      address: `${settings.ip}:${settings.processPort}`,
      capacity: ownerCapacity(settings),
      nonce: randomUUID(),
      store: new PlatformStore({address: settings.storeAddress}),
      links: new GrpcPoolLinkFactory(),
      operatorDocuments: {
        prefix: OPERATOR_PREFIX,
        configurationKey: CONFIGURATION_KEY,
        evacuationPrefix: EVACUATION_PREFIX,
        decodeConfiguration,
        evacuatedDomainOfKey: evacuatedDomainOf,
      },
      callerDocuments: {
        isWorkflowId,
        decodeSubmission,
        encodeState,
        encodeExcess,
        encodeWaiting,
      },
      runLeaseMillis: runLeaseMillis(settings.maximumLeaseMillis),
      retentionMillis: settings.keptMillis,
      features: settings.features,
      storeRates: settings.storeRates,
      clock: new SystemClock(),
      logger,
      metrics,
    });
    const listeners = new ListenerOptionsFactory(settings, logger, metrics);
    this.processServer = createProcessServer(logger, {
      maximumConnections: listeners.connectionsOf('processConnections'),
      monitor: listeners.createMonitor('processes'),
    });
    this.callerServer = new ApiServer(call => this.entry.call(call), {
      bodyLimitBytes: () => this.entry.maximumBodyBytes,
      headLimitBytes: () => this.entry.maximumHeaderBytes,
      ...listeners.create('callers', 'callerConnections'),
    });
    this.healthListener = new HttpListener({
      handle: (request, response) => {
        const isHealth = request.url === HEALTH_PATH;
        const healthy = this.entry.isReady ? 200 : 503;
        const status = isHealth ? healthy : 404;
        sendResponse(request, response, {status});
      },
      ...listeners.create('health', 'healthConnections'),
    });
    this.metricsListener = createStateServer(
      {
        metrics,
        dumpState: async () => JSON.stringify(this.entry.dumpState()),
        explainPlacement: body => answerExplanation(this.entry, body),
      },
      listeners.createStateServerOptions(),
    );
  }

  async start(): Promise<void> {
    listenForMetrics(this.metricsListener, this.settings.ip, this.logger);
    const {ip, processPort, callerAddress, healthAddress} = this.settings;
    this.processServer.servePool(this.entry);
    await this.processServer.listen(`${ip}:${processPort}`);
    this.entry.start();
    if (healthAddress !== undefined) {
      const {host, port} = hostAndPort(healthAddress);
      await this.healthListener.listen(host, port);
    }
    if (callerAddress !== undefined) {
      const {host, port} = hostAndPort(callerAddress);
      await this.callerServer.listen(host, port);
    }
    this.logger.event(Events.PROCESS_STARTED, {
      role: 'entry',
      failureDomain: this.settings.failureDomain,
      callers: callerAddress,
    });
  }

  async stop(reason: string): Promise<void> {
    this.callerServer.drain();
    await this.entry.stop(reason);
    await new Promise(resolve => setTimeout(resolve, STOP_DELAY_MILLIS));
    await this.callerServer.close();
    this.healthListener.close();
    this.metricsListener.close();
    this.entry.dispose(reason);
    await this.processServer.close(reason);
  }

  changedSettings(): string[] {
    return changedSettings(this.settings);
  }
}
