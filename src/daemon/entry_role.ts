import {randomUUID} from 'node:crypto';
import {EntryProcess} from '../entry/entry_process.js';
import {ApiServer} from '../entry/http/api_server.js';
import {ListenerMonitor} from '../http/listener_monitor.js';
import {Events} from '../observability/events.js';
import type {Logger} from '../observability/logger.js';
import type {Metrics} from '../observability/metrics.js';
import {BudgetedStore} from '../backends/budgeted_store.js';
import {HttpStore} from '../backends/http_store.js';
import {GrpcLinkFactory} from '../protocol/grpc_links.js';
import type {GrpcServer} from '../protocol/grpc_server.js';
import {readEntrySettings} from '../settings/process_settings.js';
import type {EntryProcessSettings} from '../settings/process_settings.js';
import {SystemClock} from '../utilities/clock.js';
import {hostOf} from './host_of.js';
import {createProcessServer, createRandom} from './process_components.js';
import {runRole} from './process_runner.js';
import type {RunningRole} from './process_runner.js';
import {readSettingsOrExit} from './read_settings_or_exit.js';
import {pause} from '../utilities/pause.js';

const READY_TIMEOUT_MILLIS = 5_000;
const READY_POLL_MILLIS = 50;

/** An entry and its servers, created from the settings. */
class EntryRole implements RunningRole {
  private readonly clock = new SystemClock();
  private readonly entry: EntryProcess;
  private readonly store: BudgetedStore;
  private readonly processServer: GrpcServer;
  private readonly callerServer: ApiServer;
  private isStopping = false;

  constructor(
    private readonly settings: EntryProcessSettings,
    private readonly logger: Logger,
    metrics: Metrics,
  ) {
    const {process: identity, listen, advertise, store, tls} = settings;
    const {clock} = this;
    this.store = new BudgetedStore({
      store: new HttpStore({
        endpoints: store.endpoints.map(hostOf),
        timeoutMillis: store.timeoutMillis,
      }),
      clock,
      writesPerSecond: store.writesPerSecond,
      readsPerSecond: store.readsPerSecond,
    });
    this.entry = new EntryProcess({
      record: {
        entryId: identity.id,
        processAddress:
          advertise.processes ??
          `${listen.processes.host}:${listen.processes.port}`,
        callerAddress:
          advertise.callers ?? `${listen.callers.host}:${listen.callers.port}`,
        failureDomain: identity.failureDomain,
        nonce: randomUUID(),
        stopping: false,
      },
      shardCount: settings.shards.count,
      peerAddresses: settings.peers.addresses,
      store: this.store,
      links: new GrpcLinkFactory({security: tls, random: createRandom()}),
      clock,
      random: createRandom(),
      logger,
      metrics,
    });
    this.processServer = createProcessServer(logger, {security: tls});
    this.callerServer = new ApiServer(call => this.entry.call(call), {
      bodyLimitBytes: settings.limits.bodyBytes,
      limits: {connections: settings.limits.callerConnections},
      monitor: new ListenerMonitor({listener: 'callers', logger, metrics}),
    });
  }

  async start(): Promise<void> {
    const {listen, process: identity} = this.settings;
    const {callers, processes} = listen;
    this.processServer.serveEntry(this.entry);
    await this.processServer.listen(`${processes.host}:${processes.port}`);
    await this.entry.start();
    await this.waitUntilAgentsAreKnown();
    if (this.isStopping) return;
    await this.callerServer.listen(callers.host, callers.port);
    this.logger.event(Events.PROCESS_STARTED, {
      role: 'entry',
      failureDomain: identity.failureDomain,
      callers: `${callers.host}:${callers.port}`,
      processes: `${processes.host}:${processes.port}`,
    });
  }

  async stop(reason: string): Promise<void> {
    this.isStopping = true;
    this.entry.drain();
    this.callerServer.drain();
    await pause(this.clock, this.settings.limits.drainMillis);
    await this.entry.stop(reason);
    await this.callerServer.close();
    await this.processServer.close(reason);
    this.entry.dispose(reason);
    this.store.close(reason);
  }

  /** Waits until callers' requests can be forwarded, or until a timeout. */
  private async waitUntilAgentsAreKnown(): Promise<void> {
    const deadline = this.clock.now() + READY_TIMEOUT_MILLIS;
    while (!this.isStopping && this.clock.now() < deadline) {
      if (this.entry.knowsAgents()) return;
      await pause(this.clock, READY_POLL_MILLIS);
    }
  }
}

/** Runs an entry until a signal stops it. */
export async function runEntry(file: string): Promise<void> {
  const settings = readSettingsOrExit(() => readEntrySettings(file));
  await runRole(
    settings,
    (logger, metrics) => new EntryRole(settings, logger, metrics),
  );
}
