import {attemptKey} from '../../decisions/job_types.js';
import type {AttemptName} from '../../decisions/job_types.js';
import {Events} from '../../observability/events.js';
import {ResultCodes} from '../../observability/result_codes.js';
import type {
  StartAttempt,
  StartAttemptsReply,
  StartAttemptsRequest,
  StartResult,
} from '../../protocol/generated/burdockmoor.js';
import {NO_RESOURCES} from '../../utilities/resources.js';
import type {Resources} from '../../utilities/resources.js';
import type {AgentContext} from '../agent_context.js';
import type {AgentMetrics} from '../agent_metrics.js';
import type {AttemptStarter} from './attempt_starter.js';
import type {TailProtection} from '../tail_protection.js';
import type {HeartbeatSender} from '../heartbeat_sender.js';
import {
  areSettingsFresh,
  checkClosed,
  checkSender,
  checkVm,
} from '../start_checks.js';
import type {Refusal} from '../start_checks.js';

/** How long a start waits for fresh settings and the owner's lease. */
const CONFIRMATION_DEADLINE_MILLIS = 1_000;

/** A start with its name and size present. */
export interface CheckedStart extends StartAttempt {
  readonly name: AttemptName;
  readonly size: Resources;
}

/** Starts task attempts for the owner of their shard, or refuses them. */
export class StartAttempts {
  constructor(
    private readonly context: AgentContext,
    private readonly heartbeats: HeartbeatSender,
    private readonly starter: AttemptStarter,
    private readonly metrics: AgentMetrics,
    private readonly protection?: TailProtection,
  ) {}

  async execute(request: StartAttemptsRequest): Promise<StartAttemptsReply> {
    const starts = request.starts.filter(isComplete);
    const isConfirmed = () => this.isConfirmed(request);
    if (!checkSender(this.context, request) && !isConfirmed()) {
      await this.heartbeats.awaitReplies(
        isConfirmed,
        CONFIRMATION_DEADLINE_MILLIS,
      );
    }
    const results = await Promise.all(
      starts.map(start => this.startOne(request, start)),
    );
    return {results};
  }

  /** True if replies confirmed the settings and granted the owner's lease. */
  private isConfirmed({settingsRevision, shard}: StartAttemptsRequest) {
    const {context} = this;
    return (
      areSettingsFresh(context, settingsRevision) &&
      context.leases.isFromNewestOwner(shard)
    );
  }

  private async startOne(
    request: StartAttemptsRequest,
    start: CheckedStart,
  ): Promise<StartResult> {
    const {attempts} = this.context;
    if (attempts.get(start.name)) return accepted(start.name);
    const refusal =
      checkSender(this.context, request) ??
      checkClosed(this.context, start.name) ??
      checkVm(this.context, request) ??
      this.checkService(start) ??
      (await this.starter.start(request, start));
    if (!refusal) {
      this.metrics.startsAccepted.increment();
      return accepted(start.name);
    }
    this.metrics.startsRefused.increment();
    this.recordRefusal(start, refusal);
    return {
      name: start.name,
      accepted: false,
      resultCode: refusal.code.number,
      reason: refusal.reason,
    };
  }

  /** Refuses a task that would endanger the service's tail latency on this VM. */
  private checkService(start: CheckedStart): Refusal | undefined {
    if (!this.protection) return undefined;
    const {kind, size, urgent, evictable} = start;
    const {milliprocessors} = size;
    const key = attemptKey(start.name);
    const task = {key, kind, milliprocessors, urgent, evictable};
    if (this.protection.admits({...task, share: 1, lostMillis: 0})) {
      return undefined;
    }
    const reason = `a task of kind ${kind} would endanger the service's tail latency`;
    return {code: ResultCodes.TAIL_PROTECTED, reason};
  }

  /** Closes a refused attempt: the owner relies on the refusal of any repeat. */
  private recordRefusal(start: CheckedStart, {code, reason}: Refusal): void {
    const {closed, clock, logger} = this.context;
    const key = attemptKey(start.name);
    if (code !== ResultCodes.OTHER_INCARNATION) closed.close(key, clock.now());
    logger.event(Events.TASK_START_REFUSED, {
      attempt: key,
      resultCode: code.number,
      reason,
    });
  }
}

function accepted(name: AttemptName): StartResult {
  return {name, accepted: true, resultCode: 0, reason: ''};
}

function isComplete(start: StartAttempt): start is CheckedStart {
  if (start.name === undefined) return false;
  start.size ??= NO_RESOURCES;
  return true;
}
