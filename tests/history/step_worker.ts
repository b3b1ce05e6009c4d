import {WorkerUnavailableError} from '../../src/backends/platform_errors.js';
import type {Worker} from '../../src/backends/worker.js';
import {intercept} from '../stand_ins/intercept.js';
import type {WorkerMachine} from '../stand_ins/worker_machine.js';
import type {AnswerFaults} from './answer_faults.js';
import type {ProcessClock} from './process_clock.js';
import type {Step, StepHooks} from './step_hooks.js';

const LATENCY_MILLIS = 1;
const TIMEOUT_MILLIS = 1_000;
const STEPS_BY_CALL: Readonly<Record<string, string | undefined>> = {
  start: 'workerStart',
  renew: 'workerRenew',
  checkpoint: 'workerCheckpoint',
  stop: 'workerStop',
};

/** The VM's worker as its agent reaches it. */
export interface WorkerPath {
  readonly machine: WorkerMachine;
  /** Nothing gets through. */
  cut: boolean;
  readonly answers: AnswerFaults;
}

/** An agent's way to its worker: tells of its steps, and can be cut. */
export class StepWorker {
  readonly worker: Worker;

  constructor(
    private readonly agent: string,
    private readonly path: WorkerPath,
    private readonly clock: ProcessClock,
    private readonly hooks: StepHooks,
  ) {
    this.worker = intercept<Worker>(path.machine, (name, call) =>
      name === 'close' ? undefined : this.run(name, call),
    );
  }

  private async run(name: string, call: () => unknown): Promise<unknown> {
    const kind = STEPS_BY_CALL[name];
    if (kind) this.reached(`${kind}.before`);
    await this.clock.resumed();
    if (this.path.cut) await this.timeOut();
    await this.pause(LATENCY_MILLIS);
    const result = await call();
    if (kind) this.reached(`${kind}.after`);
    await this.clock.resumed();
    if (this.path.cut) await this.timeOut();
    await this.pause(LATENCY_MILLIS);
    return this.path.answers.pass(name, structuredClone(result));
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
