import type {ServiceRouter} from '../../decisions/routing/service_router.js';
import {ResultCodes} from '../../observability/result_codes.js';
import type {Metrics} from '../../observability/metrics.js';
import type {SettingsView} from '../../settings/settings_view.js';
import type {Clock} from '../../utilities/clock.js';
import type {AgentDirectory, AgentRecord} from '../agents/agent_directory.js';
import {branchResponse} from '../commands/settings_commands.js';
import {apiError, jsonResponse} from '../http/api_types.js';
import type {ApiResponse} from '../http/api_types.js';
import type {ApiRouter} from '../http/api_router.js';
import {checkName} from '../http/job_submission.js';
import type {ProcessStatuses} from '../membership/process_statuses.js';
import type {SettingsBranchesStore} from '../settings_branches_store.js';

/** API calls that read settings, VMs, services and the state of processes. */
export class OperatorQueries {
  constructor(
    private readonly options: {
      readonly entryId: string;
      readonly branches: SettingsBranchesStore;
      readonly settings: SettingsView;
      readonly agents: AgentDirectory;
      readonly router: ServiceRouter;
      readonly statuses: ProcessStatuses;
      readonly metrics: Metrics;
      readonly clock: Clock;
      readonly dumpState: () => unknown;
    },
  ) {}

  addRoutes(router: ApiRouter): void {
    router.add('GET', '/v1/settings/:branch', (_call, {branch}) =>
      this.branch(branch),
    );
    router.add('GET', '/v1/settings/:branch/history', (_call, {branch}) =>
      this.history(branch),
    );
    router.add('GET', '/v1/settings-status', () => this.settingsStatus());
    router.add('GET', '/v1/failure-domains', () => this.failureDomains());
    router.add('GET', '/v1/vms', () => this.vms());
    router.add('GET', '/v1/services', () => this.services());
    router.add('GET', '/v1/state', async () =>
      jsonResponse(this.options.dumpState()),
    );
    router.add('GET', '/v1/state/:process', (_call, {process}) =>
      this.state(process),
    );
    router.add('GET', '/metrics', async () => this.metrics());
  }

  private async branch(branch: string): Promise<ApiResponse> {
    checkName('The branch', branch);
    return branchResponse(await this.options.branches.read(branch));
  }

  private async history(branch: string): Promise<ApiResponse> {
    checkName('The branch', branch);
    const {stored} = await this.options.branches.read(branch);
    if (!stored) return jsonResponse({branch, versions: []});
    const {history, ...newest} = stored;
    return jsonResponse({branch, versions: [newest, ...history]});
  }

  private async settingsStatus(): Promise<ApiResponse> {
    const {settings, statuses, clock} = this.options;
    const processes = statuses.all(clock.now());
    return jsonResponse({revision: settings.revision, processes});
  }

  private async failureDomains(): Promise<ApiResponse> {
    const {settings, agents} = this.options;
    const out = settings.fleet.failureDomainsOut;
    const vmCounts = new Map<string, number>();
    for (const name of out) vmCounts.set(name, 0);
    for (const {heartbeat} of agents.all()) {
      const count = vmCounts.get(heartbeat.failureDomain) ?? 0;
      vmCounts.set(heartbeat.failureDomain, count + 1);
    }
    const failureDomains = [...vmCounts].sort().map(([name, count]) => ({
      name,
      out: out.has(name),
      vms: count,
    }));
    return jsonResponse({failureDomains});
  }

  private async vms(): Promise<ApiResponse> {
    const now = this.options.clock.now();
    const vms = [...this.options.agents.all()]
      .sort((left, right) => (left.agentId < right.agentId ? -1 : 1))
      .map(agent => this.describeVm(agent, now));
    return jsonResponse({vms});
  }

  private describeVm(agent: AgentRecord, now: number): object {
    const {heartbeat} = agent;
    const {fleet} = this.options.settings;
    return {
      vm: agent.agentId,
      failureDomain: heartbeat.failureDomain,
      failureDomainOut: fleet.failureDomainsOut.has(heartbeat.failureDomain),
      region: heartbeat.region,
      rack: heartbeat.rack,
      capacity: heartbeat.capacity,
      committed: heartbeat.committed,
      used: heartbeat.used,
      runningAttempts: heartbeat.runningAttempts,
      drained: fleet.drainedVms.has(agent.agentId),
      stopping: heartbeat.stopping,
      recovering: heartbeat.recovering,
      silentMillis: Math.round(now - agent.lastHeartbeatAt),
    };
  }

  private async services(): Promise<ApiResponse> {
    const {router, agents} = this.options;
    const services = router.services().map(service => ({
      service,
      upstreams: [...agents.all()].flatMap(({agentId, heartbeat}) =>
        heartbeat.executors
          .filter(executor => executor.service === service)
          .map(executor => ({
            vm: agentId,
            failureDomain: heartbeat.failureDomain,
            ...executor,
          })),
      ),
    }));
    return jsonResponse({services});
  }

  private async state(process: string): Promise<ApiResponse> {
    const {entryId, agents, dumpState} = this.options;
    if (process === entryId) return jsonResponse(dumpState());
    const agent = agents.find(process);
    if (!agent) {
      throw apiError(
        ResultCodes.NOT_FOUND,
        `Process ${process} is neither this entry nor an agent that reports to it.`,
      );
    }
    const reply = await agent.link.dumpState();
    return {
      status: 200,
      headers: [['content-type', 'application/json']],
      body: Buffer.from(reply.json),
    };
  }

  private metrics(): ApiResponse {
    return {
      status: 200,
      headers: [['content-type', 'text/plain; version=0.0.4']],
      body: Buffer.from(this.options.metrics.render()),
    };
  }
}
