import {AgentProcess} from '../../src/agent/agent_process.js';
import {parseWorkerTaskId} from '../../src/agent/worker_task_id.js';
import type {Logger} from '../../src/observability/logger.js';
import {SettingsView} from '../../src/settings/settings_view.js';
import {NO_RESOURCES} from '../../src/utilities/resources.js';
import type {Resources} from '../../src/utilities/resources.js';
import {Random} from '../../src/utilities/random.js';
import type {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {WorkerMachine} from '../stand_ins/worker_machine.js';
import {WorkerRecordType} from '../stand_ins/worker_records.js';
import type {WorkerRecord} from '../stand_ins/worker_records.js';
import type {History} from './history.js';
import {ObservedSettings} from './observed_settings.js';
import {ProcessClock} from './process_clock.js';
import type {StepHooks} from './step_hooks.js';
import {StepWorker} from './step_worker.js';
import type {WorkerPath} from './step_worker.js';
import {VirtualExecutor} from './virtual_executor.js';
import type {ExecutorMachine} from './virtual_executor.js';
import type {NetworkNode, VirtualNetwork} from './virtual_network.js';

const OBSERVATIONS = {
  [WorkerRecordType.START]: 'taskStart',
  [WorkerRecordType.FINISH]: 'taskFinish',
  [WorkerRecordType.FAIL]: 'taskFail',
  [WorkerRecordType.STOP]: 'taskStop',
  [WorkerRecordType.LAPSE]: 'taskLapse',
} as const;

export const SERVICE = 'orders';
export const SERVICE_TEAM = 'counter';
const SLOTS = 8;
const CONNECTIONS = 64;

export interface VirtualVmOptions {
  readonly id: string;
  readonly failureDomain: string;
  readonly rack: string;
  readonly capacity: Resources;
  readonly entryAddresses: readonly string[];
  readonly clock: VirtualClock;
  readonly network: VirtualNetwork;
  readonly history: History;
  readonly hooks: StepHooks;
  readonly random: Random;
  readonly logger: Logger;
}

/** One VM: its worker, its executor and the agent beside them. */
export class VirtualVm {
  readonly address: string;
  agent!: AgentProcess;
  executor!: ExecutorMachine;
  path!: WorkerPath;
  private vmClock!: ProcessClock;
  private agentClock!: ProcessClock;
  private node!: NetworkNode;
  private run = 0;

  constructor(readonly options: VirtualVmOptions) {
    this.address = `${options.id}:1`;
    this.bootMachine();
    this.startAgent();
  }

  get alive(): boolean {
    return !this.agentClock.dead;
  }

  get clock(): ProcessClock {
    return this.agentClock;
  }

  /** Starts the agent anew, beside whatever the worker still runs. */
  startAgent(): void {
    const {id, clock, network, history, hooks, random, logger} = this.options;
    const agentClock = new ProcessClock(clock);
    this.agentClock = agentClock;
    this.run++;
    history.record({type: 'processUp', process: id, run: this.run});
    this.agent = new AgentProcess({
      agentId: id,
      incarnation: `${id}-run-${this.run}`,
      failureDomain: this.options.failureDomain,
      region: 'here',
      rack: this.options.rack,
      address: this.address,
      entryAddresses: this.options.entryAddresses,
      executorConfiguration: {
        service: SERVICE,
        team: SERVICE_TEAM,
        slots: SLOTS,
        connections: CONNECTIONS,
        reserved: NO_RESOURCES,
      },
      executor: new VirtualExecutor(
        this.executor,
        agentClock,
        this.vmClock,
        random,
        history,
        hooks,
      ),
      worker: new StepWorker(id, this.path, agentClock, hooks),
      links: network.linksOf(() => this.node),
      settings: new ObservedSettings(new SettingsView(), {
        process: id,
        run: this.run,
        history,
        clock: agentClock,
      }),
      clock: agentClock,
      random: new Random(random.below(2 ** 31)),
      logger,
    });
    this.node = {
      id,
      address: this.address,
      clock: agentClock,
      handlers: this.agent,
      isEntry: false,
    };
    network.attach(this.node);
    this.agent.start();
  }

  killAgent(): void {
    const {id, history} = this.options;
    if (!this.alive) return;
    this.agentClock.kill();
    history.record({type: 'processDown', process: id, run: this.run});
  }

  /** The whole VM is gone. */
  lose(): void {
    const {id, network, history} = this.options;
    this.killAgent();
    this.path.machine.close();
    this.vmClock.kill();
    network.lostMachines.add(this.address);
    history.record({type: 'vmLost', vm: id});
  }

  /** A new VM takes the lost one's place. */
  replace(): void {
    this.options.network.lostMachines.delete(this.address);
    this.bootMachine();
    this.startAgent();
  }

  /** Shuts the agent down as planned. */
  async shutDown(): Promise<void> {
    const {id, history, hooks} = this.options;
    const clock = this.agentClock;
    const run = this.run;
    const observation = {process: id, vm: id};
    history.record({type: 'shutdownBegin', ...observation});
    hooks.reached('shutdown.begin', {agent: id});
    if (clock.dead) return;
    await this.agent.stop('planned');
    if (clock.dead) return;
    history.record({type: 'shutdownEnd', ...observation});
    clock.kill();
    history.record({type: 'processDown', process: id, run});
  }

  private bootMachine(): void {
    const {id, clock, history, failureDomain, capacity} = this.options;
    this.vmClock = new ProcessClock(clock);
    history.record({type: 'workerUp', vm: id, failureDomain, capacity});
    const machine = new WorkerMachine({
      id,
      clock: this.vmClock,
      capacity,
      clockOffsetMillis: 1_000_000,
      onRecord: record => this.observe(record),
    });
    this.path = {machine, cut: false};
    this.executor = {
      vm: id,
      tasksBeside: () => machine.runningKinds().length,
      late: false,
      silent: false,
      refusing: false,
    };
  }

  private observe(record: WorkerRecord): void {
    if (record.type === WorkerRecordType.BOOT) return;
    const identity = parseWorkerTaskId(record.id);
    if (!identity) throw new Error(`Task ${record.id} has no known name.`);
    const {team, job, task, attempt} = identity.name;
    this.options.history.record({
      type: OBSERVATIONS[record.type],
      vm: this.options.id,
      name: {team, job, task},
      attempt,
      size: record.size,
      doneMillis: record.doneMillis,
    });
  }
}
