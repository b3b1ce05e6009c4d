import {WorkerUnavailableError} from '../../src/platform/platform_errors.js';
import type {
  Worker,
  WorkerStatus,
  WorkerTask,
  WorkerTaskStart,
} from '../../src/platform/worker.js';
import type {WorkerMachine} from '../stand_ins/worker_machine.js';
import type {ProcessClock} from './process_clock.js';
import type {Step, StepHooks} from './step_hooks.js';

const LATENCY_MILLIS = 1;
const TIMEOUT_MILLIS = 1_000;

/** The VM's worker as its agent reaches it. */
export interface WorkerPath {
  readonly machine: WorkerMachine;
  /** Nothing gets through. */
  cut: boolean;
}

/** An agent's way to its worker: tells of its steps, and can be cut. */
export class StepWorker implements Worker {
  constructor(
    private readonly agent: string,
    private readonly path: WorkerPath,
    private readonly clock: ProcessClock,
    private readonly hooks: StepHooks,
  ) {}

  status(): Promise<WorkerStatus> {
    return this.run(undefined, machine => machine.status());
  }

  start(task: WorkerTaskStart): Promise<void> {
    return this.run('workerStart', machine => machine.start(task));
  }

  renew(ids: readonly string[], leaseExpiresAt: number): Promise<void> {
    return this.run('workerRenew', machine =>
      machine.renew(ids, leaseExpiresAt),
    );
  }

  checkpoint(id: string): Promise<string> {
    return this.run('workerCheckpoint', machine => machine.checkpoint(id));
  }

  throttle(id: string, share: number): Promise<void> {
    return this.run(undefined, machine => machine.throttle(id, share));
  }

  stop(id: string, options?: {checkpoint?: boolean}): Promise<WorkerTask> {
    return this.run('workerStop', machine => machine.stop(id, options));
  }

  forget(ids: readonly string[]): Promise<void> {
    return this.run(undefined, machine => machine.forget(ids));
  }

  close(): void {}

  private async run<Result>(
    kind: string | undefined,
    call: (machine: WorkerMachine) => Promise<Result>,
  ): Promise<Result> {
    if (kind) this.reached(`${kind}.before`);
    await this.clock.resumed();
    if (this.path.cut) await this.timeOut();
    await this.pause(LATENCY_MILLIS);
    const result = await call(this.path.machine);
    if (kind) this.reached(`${kind}.after`);
    await this.clock.resumed();
    if (this.path.cut) await this.timeOut();
    await this.pause(LATENCY_MILLIS);
    return structuredClone(result);
  }

  private async timeOut(): Promise<never> {
    await this.pause(TIMEOUT_MILLIS);
    throw new WorkerUnavailableError(`no answer in ${TIMEOUT_MILLIS} ms`);
  }

  private pause(delayMillis: number): Promise<void> {
    return new Promise(resolve => this.clock.schedule(delayMillis, resolve));
  }

  private reached(step: string): void {
    this.hooks.reached(step as Step, {agent: this.agent});
  }
}
