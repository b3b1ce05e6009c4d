import type {ServiceRouter} from '../../src/decisions/routing/service_router.js';
import type {UpstreamReport} from '../../src/decisions/routing/upstream_report.js';
import type {Clock} from '../../src/utilities/clock.js';
import type {FleetSize} from './fleet_size.js';
import type {TracedRequest} from './request_trace.js';
import type {CallerOutcome, ServiceRecorder} from './service_recorder.js';
import type {AgentAnswer, SimulatedAgent} from './simulated_agent.js';
import {SimulatedProcess} from './simulated_process.js';

/** An agent without a heartbeat for this long is forgotten. */
const FORGET_MILLIS = 3000;
const CHECK_MILLIS = 500;

/** A request of a caller while it has no final answer. */
interface OpenRequest {
  readonly traced: TracedRequest;
  readonly arrivedAt: number;
  readonly tried: Set<string>;
  /** Sent and neither answered nor refused. */
  open: number;
  retried: boolean;
  hedged: boolean;
  done: boolean;
}

export interface EntryOptions {
  readonly clock: Clock;
  readonly size: FleetSize;
  readonly router: ServiceRouter;
  readonly failureDomain: string;
  readonly recorder: ServiceRecorder;
  /** Agents by id that can be reached now. */
  readonly agents: ReadonlyMap<string, SimulatedAgent>;
  readonly hedges: boolean;
}

/** An entry around the real router; sees only reports and answers. */
export class SimulatedEntry extends SimulatedProcess {
  private readonly heardAt = new Map<string, number>();
  private readonly open = new Set<OpenRequest>();

  constructor(private readonly options: EntryOptions) {
    super(options.clock);
    this.later(CHECK_MILLIS, () => this.forgetSilentAgents());
  }

  heartbeat(report: UpstreamReport): void {
    this.receive(() => {
      const now = this.clock.now();
      this.heardAt.set(report.agentId, now);
      this.options.router.applyReport(report, now);
    });
  }

  /** Takes a caller's request that arrives now. */
  accept(traced: TracedRequest): void {
    const request: OpenRequest = {
      traced,
      arrivedAt: this.clock.now(),
      tried: new Set(),
      open: 0,
      retried: false,
      hedged: false,
      done: false,
    };
    this.open.add(request);
    this.clock.schedule(this.options.size.deadlineMillis, () => {
      this.finish(request, 'unknown');
    });
    this.receive(() => this.route(request));
  }

  override kill(): void {
    super.kill();
    for (const request of this.open) this.finish(request, 'unknown');
  }

  private route(request: OpenRequest): void {
    if (request.done) return;
    const now = this.clock.now();
    const leftMillis = this.leftMillis(request);
    const choice = this.options.router.choose(
      {
        service: 'orders',
        deadlineMillis: leftMillis,
        excluded: request.tried,
      },
      now,
    );
    if (choice.kind === 'none') {
      if (request.open === 0) this.finish(request, 'notRun');
      return;
    }
    this.send(request, choice.agentId, leftMillis);
    if (this.options.hedges) this.hedgeLater(request, choice.agentId);
  }

  private send(
    request: OpenRequest,
    agentId: string,
    leftMillis: number,
  ): void {
    if (request.tried.size > 0) this.options.recorder.repeated();
    request.tried.add(agentId);
    request.open++;
    const sentAt = this.clock.now();
    const agent = this.options.agents.get(agentId);
    const wayMillis = this.wayTo(agent);
    let settled = false;
    this.later(leftMillis, () => {
      if (settled) return;
      settled = true;
      request.open--;
      this.endRoute(agentId, sentAt, 'unknown');
    });
    if (!agent) return;
    this.clock.schedule(wayMillis, () => {
      const {id, serviceMillis} = request.traced;
      const left = leftMillis - wayMillis;
      agent.serve(id, left, serviceMillis, answer => {
        this.later(wayMillis, () => {
          if (settled) return;
          settled = true;
          request.open--;
          this.takeAnswer(request, agentId, sentAt, answer);
        });
      });
    });
  }

  private takeAnswer(
    request: OpenRequest,
    agentId: string,
    sentAt: number,
    {outcome, failed, report}: AgentAnswer,
  ): void {
    this.endRoute(agentId, sentAt, outcome, failed);
    this.options.router.applyReport(report, this.clock.now());
    if (outcome === 'answered') {
      this.finish(request, failed ? 'failed' : 'answered');
      return;
    }
    if (request.done || request.open > 0) return;
    const mayRetry =
      !request.retried &&
      this.options.router.mayRetry('orders', this.clock.now());
    if (!mayRetry) {
      this.finish(request, 'notRun');
      return;
    }
    request.retried = true;
    this.route(request);
  }

  private hedgeLater(request: OpenRequest, agentId: string): void {
    const {router} = this.options;
    if (!request.traced.idempotent || request.hedged) return;
    const delay = router.hedgeDelayMillis('orders', this.clock.now());
    if (delay === undefined) return;
    this.later(delay, () => {
      if (request.done || request.hedged) return;
      if (!router.mayHedge('orders', this.clock.now(), agentId)) return;
      request.hedged = true;
      this.route(request);
    });
  }

  private endRoute(
    agentId: string,
    sentAt: number,
    outcome: 'answered' | 'notRun' | 'unknown',
    failed = false,
  ): void {
    const now = this.clock.now();
    const end = {outcome, answerMillis: now - sentAt, failed};
    this.options.router.ended(agentId, 'orders', end, now);
  }

  private finish(request: OpenRequest, outcome: CallerOutcome): void {
    if (request.done) return;
    request.done = true;
    this.open.delete(request);
    const {recorder, size} = this.options;
    const sinceArrival = this.clock.now() - request.arrivedAt;
    recorder.ended(outcome, sinceArrival);
    if (outcome !== 'answered') return;
    const least = request.traced.serviceMillis + 2 * size.localMillis;
    recorder.waited(sinceArrival - least);
  }

  private leftMillis(request: OpenRequest): number {
    const elapsed = this.clock.now() - request.arrivedAt;
    return this.options.size.deadlineMillis - elapsed;
  }

  private wayTo(agent: SimulatedAgent | undefined): number {
    const {size, failureDomain} = this.options;
    return agent?.failureDomain === failureDomain
      ? size.localMillis
      : size.crossingMillis;
  }

  private forgetSilentAgents(): void {
    const now = this.clock.now();
    for (const [agentId, heardAt] of this.heardAt) {
      if (now - heardAt <= FORGET_MILLIS) continue;
      this.heardAt.delete(agentId);
      this.options.router.removeUpstream(agentId, 'no heartbeat', now);
    }
    this.later(CHECK_MILLIS, () => this.forgetSilentAgents());
  }
}
