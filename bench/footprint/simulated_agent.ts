import {EntryAcknowledgement} from '../../src/agent/entry_acknowledgement.js';
import {HeartbeatDeltaEncoder} from '../../src/agent/heartbeat_delta_encoder.js';
import {HeartbeatRequest} from '../../src/protocol/generated/burdockmoor.js';
import type {
  AttemptName,
  ExecutorReport,
  HeartbeatReply,
  Resources,
  StartAttemptsRequest,
} from '../../src/protocol/generated/burdockmoor.js';
import type {EntryLink} from '../../src/protocol/links.js';
import type {Random} from '../../src/utilities/random.js';

const HEARTBEAT_DEADLINE_MILLIS = 1_000;
const FIRST_PERIOD_MILLIS = 1_000;
const PERIOD_JITTER = 0.2;
const RUN_JITTER = 0.5;
const LOAD_JITTER = 0.2;
/** What each task of the job source asks for. */
const TASK_MILLIPROCESSORS = 100;
const TASK_MEGABYTES = 100;
const REPORT_AGAIN_MILLIS = 1_000;
const CAPACITY = {
  milliprocessors: 64_000,
  memoryMegabytes: 250_000,
  accelerators: 2,
};
const EXECUTOR = {
  service: 'rounds',
  team: 'asantewaa',
  slots: 8,
  inFlight: 1,
  queued: 0,
  serviceMillis: 5.5,
  tailMillis: 9.5,
  draining: false,
  unavailable: false,
};
const NO_HEARTBEAT = HeartbeatRequest.decode(new Uint8Array());
const NOTHING = {milliprocessors: 0, memoryMegabytes: 0, accelerators: 0};

export interface SimulatedAgentOptions {
  readonly agentId: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly link: EntryLink;
  readonly random: Random;
}

/**
 * An agent reduced to its messages: heartbeats at the period that the entry
 * asks for, and tasks that do nothing until about their expected run time.
 */
export class SimulatedAgent {
  heartbeats = 0;
  starts = 0;
  private readonly acknowledged = new EntryAcknowledgement();
  private readonly deltas = new HeartbeatDeltaEncoder();
  private sequence = 0;
  private settingsRevision = 0;
  private running = 0;

  constructor(private readonly options: SimulatedAgentOptions) {}

  start(): void {
    const {random} = this.options;
    setTimeout(() => void this.beat(), random.unit() * FIRST_PERIOD_MILLIS);
  }

  /** Begins the attempts; each ends by a report once its time is over. */
  begin(request: StartAttemptsRequest): void {
    for (const {name, expectedRunMillis} of request.starts) {
      this.starts++;
      this.running++;
      const runMillis = this.options.random.jitter(
        expectedRunMillis,
        RUN_JITTER,
      );
      setTimeout(() => {
        this.running--;
        void this.report(request.shard, name!, Math.round(runMillis));
      }, runMillis);
    }
  }

  private async beat(): Promise<void> {
    let period = FIRST_PERIOD_MILLIS;
    try {
      const reply = await this.send();
      this.heartbeats++;
      if (!reply.resync) period = reply.nextHeartbeatMillis;
      this.noteSettings(reply);
    } catch {
      // The next heartbeat tries again.
    }
    const {random} = this.options;
    setTimeout(() => void this.beat(), random.jitter(period, PERIOD_JITTER));
  }

  /** Sends what a real agent would: a delta wherever the entry has a base. */
  private async send(): Promise<HeartbeatReply> {
    const {acknowledged} = this;
    const request = this.deltas.encode(this.heartbeat(), acknowledged.base);
    acknowledged.recordSent(request);
    const reply = await this.options.link.heartbeat(
      request,
      HEARTBEAT_DEADLINE_MILLIS,
    );
    if (!reply.resync) return acknowledged.applyReply(request, reply);
    acknowledged.handleResync(request);
    return reply;
  }

  private noteSettings(reply: HeartbeatReply): void {
    this.settingsRevision = Math.max(
      this.settingsRevision,
      reply.settingsRevision,
    );
  }

  private heartbeat(): HeartbeatRequest {
    const {agentId, address, failureDomain} = this.options;
    return {
      ...NO_HEARTBEAT,
      agentId,
      incarnation: `run-of-${agentId}-0000-4000-8000-000000000000`,
      failureDomain,
      region: 'region-1',
      rack: `rack-${agentId}`,
      address,
      sequence: ++this.sequence,
      agentTime: Math.round(performance.now()),
      capacity: CAPACITY,
      committed: {
        milliprocessors: this.running * TASK_MILLIPROCESSORS,
        memoryMegabytes: this.running * TASK_MEGABYTES,
        accelerators: 0,
      },
      executors: [this.executor()],
      settingsRevision: this.settingsRevision,
      branches: ['fleet'],
      draining: false,
      runningAttempts: this.running,
      interference: [],
      used: this.used(),
      stopping: false,
      recovering: false,
    };
  }

  /** Requests come and go, so the load is another in each heartbeat. */
  private executor(): ExecutorReport {
    const {random} = this.options;
    return {
      ...EXECUTOR,
      inFlight: random.below(EXECUTOR.slots + 1),
      serviceMillis: random.jitter(EXECUTOR.serviceMillis, LOAD_JITTER),
      tailMillis: random.jitter(EXECUTOR.tailMillis, LOAD_JITTER),
    };
  }

  /** What the VM's tasks use, which is never quite the same. */
  private used(): Resources {
    const {random} = this.options;
    return {
      milliprocessors: random.below(CAPACITY.milliprocessors),
      memoryMegabytes: random.below(CAPACITY.memoryMegabytes),
      accelerators: 0,
    };
  }

  private async report(
    shard: number,
    name: AttemptName,
    ranMillis: number,
  ): Promise<void> {
    const {agentId, link} = this.options;
    const report = {
      name,
      outcome: 'finished',
      checkpoint: '',
      result: 'done',
      reason: '',
      resultCode: 0,
      ranMillis,
      used: NOTHING,
    };
    try {
      const reply = await link.reportAttempts({
        agentId,
        incarnation: `run-of-${agentId}-0000-4000-8000-000000000000`,
        shard,
        reports: [report],
      });
      if (reply.recorded.length > 0) return;
    } catch {
      // Reported again below.
    }
    setTimeout(
      () => void this.report(shard, name, ranMillis),
      REPORT_AGAIN_MILLIS,
    );
  }
}
