import {ExecutorFailure} from '../../src/backends/executor.js';
import type {
  Executor,
  ExecutorResponse,
  ExecutorRequest,
} from '../../src/backends/executor.js';
import {describeMismatch} from '../../src/backends/http_executor.js';
import {ExecutorError} from '../../src/backends/platform_errors.js';
import type {Random} from '../../src/utilities/random.js';
import type {AnswerFaults} from './answer_faults.js';
import {answerBody} from './checkers/whole_answer_checker.js';
import type {History} from './history.js';
import type {ProcessClock} from './process_clock.js';
import type {StepHooks} from './step_hooks.js';

const MEAN_RUN_MILLIS = 15;

/** How the VM's executor behaves; its state outlives the agent beside it. */
export interface ExecutorMachine {
  readonly vm: string;
  /** Tasks that run on the VM and slow the executor down. */
  readonly tasksBeside: () => number;
  /** Answers come after the deadline of their request. */
  late: boolean;
  /** Requests are taken and never answered. */
  silent: boolean;
  /** Connections are refused. */
  refusing: boolean;
  readonly answers: AnswerFaults;
}

/** An executor that records which requests it runs. */
export class VirtualExecutor implements Executor {
  constructor(
    private readonly machine: ExecutorMachine,
    /** Of the agent, which waits for the answers. */
    private readonly agentClock: ProcessClock,
    /** Of the VM, on which requests run on when the agent is gone. */
    private readonly vmClock: ProcessClock,
    private readonly random: Random,
    private readonly history: History,
    private readonly hooks: StepHooks,
  ) {}

  async send(request: ExecutorRequest): Promise<ExecutorResponse> {
    const {machine} = this;
    const agent = machine.vm;
    this.hooks.reached('executorSend.before', {agent});
    await this.agentClock.resumed();
    const isLate = this.vmClock.wallTime() > request.startByMillis;
    if (machine.refusing || isLate) throw failure(ExecutorFailure.NOT_SENT);
    const ran = this.run(request.requestId, request.deadlineMillis);
    await this.wait(ran, request.deadlineMillis);
    this.hooks.reached('executorSend.after', {agent});
    await this.agentClock.resumed();
    const answer = await machine.answers.pass('send', ownAnswer(request));
    await this.agentClock.resumed();
    const crossing = describeMismatch(request.requestId, answer.headers);
    if (crossing) throw failure(ExecutorFailure.UNKNOWN);
    return answer;
  }

  async probe(): Promise<void> {
    const {refusing, silent} = this.machine;
    if (refusing || silent) throw failure(ExecutorFailure.UNKNOWN);
  }

  close(): void {}

  private run(requestId: string, deadlineMillis: number): Promise<void> {
    const {vm, late, silent} = this.machine;
    const slowdown = 1 + this.machine.tasksBeside();
    const usual = this.random.exponential(slowdown * MEAN_RUN_MILLIS);
    const runMillis = late ? 2 * deadlineMillis : usual;
    this.history.record({type: 'executorBegin', vm, requestId});
    return new Promise(resolve => {
      this.vmClock.schedule(runMillis, () => {
        this.history.record({type: 'executorEnd', vm, requestId});
        if (!silent) resolve();
      });
    });
  }

  private wait(ran: Promise<void>, deadlineMillis: number): Promise<void> {
    return new Promise((resolve, reject) => {
      const deadline = this.agentClock.schedule(deadlineMillis, () =>
        reject(failure(ExecutorFailure.UNKNOWN)),
      );
      void ran.then(() =>
        this.agentClock.run(() => {
          deadline.cancel();
          resolve();
        }),
      );
    });
  }
}

function ownAnswer({requestId, body}: ExecutorRequest): ExecutorResponse {
  const text = answerBody(requestId, Buffer.from(body).toString());
  const headers = [['x-request-id', requestId]] as const;
  return {status: 200, headers, body: Buffer.from(text)};
}

function failure(kind: ExecutorFailure): Error {
  return new ExecutorError(`No answer: ${kind}.`, {props: {failure: kind}});
}
