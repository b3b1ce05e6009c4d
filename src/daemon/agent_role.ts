import {randomUUID} from 'node:crypto';
import {AgentProcess} from '../agent/agent_process.js';
import type {HttpListener} from '../http/http_listener.js';
import type {Logger} from '../observability/logger.js';
import type {Metrics} from '../observability/metrics.js';
import {HttpExecutor} from '../backends/http_executor.js';
import {HttpWorker} from '../backends/http_worker.js';
import type {Executor} from '../backends/executor.js';
import type {Worker} from '../backends/worker.js';
import {GrpcLinkFactory} from '../protocol/grpc_links.js';
import type {GrpcServer} from '../protocol/grpc_server.js';
import {readAgentSettings} from '../settings/process_settings.js';
import type {AgentProcessSettings} from '../settings/process_settings.js';
import {SettingsView} from '../settings/settings_view.js';
import {SystemClock} from '../utilities/clock.js';
import {hostOf} from './host_of.js';
import {createProcessServer, createRandom} from './process_components.js';
import {runRole} from './process_runner.js';
import type {RunningRole} from './process_runner.js';
import {readSettingsOrExit} from './read_settings_or_exit.js';
import {createStateServer} from './state_server.js';

/** An agent and its servers, created from the settings. */
class AgentRole implements RunningRole {
  private readonly agent: AgentProcess;
  private readonly worker: Worker;
  private readonly executor: Executor | undefined;
  private readonly processServer: GrpcServer;
  private readonly stateListener: HttpListener;

  constructor(
    private readonly settings: AgentProcessSettings,
    logger: Logger,
    metrics: Metrics,
  ) {
    const {process: identity, listen, advertise, executor, tls} = settings;
    this.worker = new HttpWorker({
      address: hostOf(settings.worker.address),
    });
    this.executor =
      executor &&
      new HttpExecutor({
        address: hostOf(executor.address),
        connections: executor.connections,
      });
    this.agent = new AgentProcess({
      agentId: identity.id,
      incarnation: randomUUID(),
      failureDomain: identity.failureDomain,
      region: identity.region,
      rack: identity.rack,
      address:
        advertise.processes ??
        `${listen.processes.host}:${listen.processes.port}`,
      entryAddresses: settings.entries.addresses,
      executorConfiguration: executor,
      executor: this.executor,
      worker: this.worker,
      links: new GrpcLinkFactory({security: tls, random: createRandom()}),
      settings: new SettingsView(),
      clock: new SystemClock(),
      random: createRandom(),
      logger,
      metrics,
    });
    this.processServer = createProcessServer(logger, {security: tls});
    this.stateListener = createStateServer({
      metrics,
      dumpState: async () => (await this.agent.dumpState()).json,
    });
  }

  async start(): Promise<void> {
    const {processes, state} = this.settings.listen;
    this.processServer.serveAgent(this.agent);
    await this.processServer.listen(`${processes.host}:${processes.port}`);
    if (state) await this.stateListener.listen(state.host, state.port);
    this.agent.start();
  }

  async stop(reason: string): Promise<void> {
    await this.agent.stop(reason);
    await this.processServer.close(reason);
    this.stateListener.close();
    this.executor?.close(reason);
    this.worker.close(reason);
  }
}

/** Runs an agent until a signal stops it. */
export async function runAgent(file: string): Promise<void> {
  const settings = readSettingsOrExit(() => readAgentSettings(file));
  await runRole(
    settings,
    (logger, metrics) => new AgentRole(settings, logger, metrics),
  );
}
