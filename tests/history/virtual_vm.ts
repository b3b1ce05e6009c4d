import {AgentProcess} from '../../src/agent/agent_process.js';
import {parseWorkerTaskId} from '../../src/agent/worker_task_id.js';
import {NO_RESOURCES} from '../../src/utilities/resources.js';
import type {Resources} from '../../src/utilities/resources.js';
import {Random} from '../../src/utilities/random.js';
import {WorkerMachine} from '../stand_ins/worker_machine.js';
import {WorkerRecordType} from '../stand_ins/worker_records.js';
import type {WorkerRecord} from '../stand_ins/worker_records.js';
import {ObservedSettings} from './observed_settings.js';
import {AnswerFaults} from './answer_faults.js';
import {ProcessClock} from './process_clock.js';
import type {StepPlace} from './step_hooks.js';
import {StepWorker} from './step_worker.js';
import type {WorkerPath} from './step_worker.js';
import {VirtualExecutor} from './virtual_executor.js';
import type {ExecutorMachine} from './virtual_executor.js';
import {VirtualProcess} from './virtual_process.js';
import type {VirtualProcessOptions} from './virtual_process.js';

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

export interface VirtualVmOptions extends VirtualProcessOptions {
  readonly rack: string;
  readonly capacity: Resources;
  readonly entryAddresses: readonly string[];
}

/** One VM: its worker, its executor and the agent beside them. */
export class VirtualVm extends VirtualProcess<VirtualVmOptions> {
  agent!: AgentProcess;
  executor!: ExecutorMachine;
  path!: WorkerPath;
  private vmClock!: ProcessClock;

  constructor(options: VirtualVmOptions) {
    super(options);
    this.bootMachine();
    this.start();
  }

  /** Starts the agent anew, beside whatever the worker still runs. */
  start(): void {
    // Nothing starts on a VM that is lost.
    if (this.vmClock.dead) return;
    const {id, network, history, hooks, random, logger} = this.options;
    const agentClock = this.beginRun();
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
      worker: new StepWorker(id, this.path, agentClock, hooks).worker,
      links: network.linksOf(() => this.node()),
      settings: new ObservedSettings(id, this.run, history),
      clock: agentClock,
      random: new Random(random.below(2 ** 31)),
      logger,
    });
    this.attach(this.agent);
    this.agent.start();
  }

  /** The whole VM is gone. */
  lose(): void {
    const {id, network, history} = this.options;
    this.kill();
    this.path.machine.close();
    this.vmClock.kill();
    network.lostMachines.add(this.address);
    history.record({type: 'vmLost', vm: id});
  }

  /** A new VM takes the lost one's place, unless one has taken it already. */
  replace(): void {
    if (!this.vmClock.dead) return;
    this.options.network.lostMachines.delete(this.address);
    this.bootMachine();
    this.start();
  }

  protected place(): StepPlace {
    return {agent: this.options.id};
  }

  protected stop(): Promise<void> {
    return this.agent.stop('planned');
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
    const newAnswers = () =>
      new AnswerFaults(clock, new Random(this.options.random.below(2 ** 31)));
    this.path = {machine, cut: false, answers: newAnswers()};
    this.executor = {
      vm: id,
      tasksBeside: () => machine.runningKinds().length,
      late: false,
      silent: false,
      refusing: false,
      answers: newAnswers(),
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
