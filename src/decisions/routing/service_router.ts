import {ResultCodes} from '../../observability/result_codes.js';
import type {ResultCode} from '../../observability/result_codes.js';
import type {Random} from '../../utilities/random.js';
import {LeastExpectedTimePolicy} from './least_expected_time_policy.js';
import {expectedWaitMillis} from './routing_policy.js';
import type {RoutingPolicy} from './routing_policy.js';
import {ServiceUpstreams} from './service_upstreams.js';
import type {UpstreamReport} from './upstream_report.js';
import {HealthState} from './upstream_health.js';
import {UpstreamState} from './upstream_state.js';

const DEFAULT_RETRY_BUDGET_SHARE = 0.1;
const DEFAULT_MAXIMUM_EJECTED_SHARE = 0.4;
const DEFAULT_CROSSING_MILLIS = 3;
/** Round trip within a failure domain. */
const LOCAL_ROUND_TRIP_MILLIS = 0.5;
const NO_UPSTREAM_RETRY_AFTER_MILLIS = 500;
const MINIMUM_RETRY_AFTER_MILLIS = 5;
const REMOVALS_KEPT = 20;
/** Long enough for a silent upstream to count as lagging before a hedge. */
const MINIMUM_HEDGE_DELAY_MILLIS = 110;
const HEDGE_DELAY_FACTOR = 2;

export interface ServiceRouterOptions {
  readonly ownFailureDomain: string;
  readonly random: Random;
  readonly policy?: RoutingPolicy;
  /** Extra requests as a share of first ones. */
  readonly retryBudgetShare?: number;
  /** Maximum share of a service's upstreams left out for poor health. */
  readonly maximumEjectedShare?: number;
  /** Round trip to another failure domain, in milliseconds. */
  readonly crossingMillis?: number;
}

export interface RouterLimits {
  readonly retryBudgetShare: number;
  readonly maximumEjectedShare: number;
}

export interface RouteRequest {
  readonly service: string;
  /** Time left until the caller's deadline. */
  readonly deadlineMillis: number;
  /** Agents that this request was already sent to. */
  readonly excluded?: ReadonlySet<string>;
}

export const RouteReason = {
  /** It has the least expected response time. */
  LEAST_EXPECTED_TIME: 'leastExpectedTime',
  /** It was ejected and gets a probe request. */
  PROBE: 'probe',
} as const;
export type RouteReason = (typeof RouteReason)[keyof typeof RouteReason];

export type RouteChoice =
  | {
      readonly kind: 'chosen';
      readonly agentId: string;
      readonly reason: RouteReason;
    }
  | {
      readonly kind: 'none';
      readonly code: ResultCode;
      readonly retryAfterMillis: number;
    };

export interface RouteEnd {
  readonly outcome: 'answered' | 'notRun' | 'unknown';
  /** Time from the choice to the response. */
  readonly answerMillis: number;
  /** True if the response is complete but says that the executor failed. */
  readonly failed?: boolean;
}

/** A removed upstream, for the dump. */
interface Removal {
  readonly agentId: string;
  readonly service: string;
  readonly reason: string;
  readonly removedAt: number;
}

/** Chooses upstreams for the service requests of one entry. */
export class ServiceRouter {
  private readonly ownFailureDomain: string;
  private readonly random: Random;
  private readonly policy: RoutingPolicy;
  private readonly crossingMillis: number;
  private retryBudgetShare: number;
  private maximumEjectedShare: number;
  private avoidedDomains: ReadonlySet<string> = new Set();
  private readonly byService = new Map<string, ServiceUpstreams>();
  private readonly removals: Removal[] = [];

  constructor({
    ownFailureDomain,
    random,
    crossingMillis = DEFAULT_CROSSING_MILLIS,
    policy = new LeastExpectedTimePolicy({crossingMillis}),
    retryBudgetShare = DEFAULT_RETRY_BUDGET_SHARE,
    maximumEjectedShare = DEFAULT_MAXIMUM_EJECTED_SHARE,
  }: ServiceRouterOptions) {
    this.ownFailureDomain = ownFailureDomain;
    this.random = random;
    this.policy = policy;
    this.crossingMillis = crossingMillis;
    this.retryBudgetShare = retryBudgetShare;
    this.maximumEjectedShare = maximumEjectedShare;
  }

  /** Applies a report; the first one adds the upstream. */
  applyReport(report: UpstreamReport, now: number): void {
    const service = this.serviceFor(report.service, now);
    const known = service.find(report.agentId);
    if (known && known.failureDomain === report.failureDomain) {
      known.applyReport(report, now);
      return;
    }
    const isLocal = report.failureDomain === this.ownFailureDomain;
    const roundTripMillis = isLocal
      ? LOCAL_ROUND_TRIP_MILLIS
      : this.crossingMillis;
    const upstream = new UpstreamState(report, isLocal, roundTripMillis, now);
    upstream.isAvoided = this.avoidedDomains.has(report.failureDomain);
    service.add(upstream, now);
  }

  /** Removes an agent from all services; the dump shows the reason. */
  removeUpstream(agentId: string, reason: string, now: number): void {
    for (const [name, service] of this.byService) {
      if (!service.remove(agentId)) continue;
      if (service.all().length === 0) this.byService.delete(name);
      this.removals.push({agentId, service: name, reason, removedAt: now});
    }
    this.removals.splice(0, this.removals.length - REMOVALS_KEPT);
  }

  /** Upstreams in these domains are used only when others are worse. */
  setAvoidedDomains(domains: ReadonlySet<string>): void {
    this.avoidedDomains = new Set(domains);
    for (const service of this.byService.values()) {
      for (const upstream of service.all()) {
        upstream.isAvoided = domains.has(upstream.failureDomain);
      }
    }
  }

  setLimits({retryBudgetShare, maximumEjectedShare}: RouterLimits): void {
    this.retryBudgetShare = retryBudgetShare;
    this.maximumEjectedShare = maximumEjectedShare;
    for (const service of this.byService.values()) {
      service.retryBudget.setShare(retryBudgetShare);
    }
  }

  /** Chooses an upstream and counts the request as in flight there. */
  choose(request: RouteRequest, now: number): RouteChoice {
    const service = this.byService.get(request.service);
    if (!service) return noUpstream();
    if (!request.excluded?.size) service.retryBudget.earn(now);
    const {usable, probe} = service.candidates(
      request.excluded,
      this.maximumEjectedShare,
      this.random,
      now,
    );
    if (probe) {
      probe.sent(now);
      return chosen(probe, RouteReason.PROBE);
    }
    if (usable.length === 0) return noUpstream();
    const best = this.policy.choose(usable, this.random, now) as UpstreamState;
    const waitMillis = expectedWaitMillis(best);
    if (waitMillis > request.deadlineMillis) return queueFull(waitMillis);
    best.sent(now);
    return chosen(best, RouteReason.LEAST_EXPECTED_TIME);
  }

  /** Applies the outcome of a request; called once for each choice. */
  ended(
    agentId: string,
    serviceName: string,
    {outcome, answerMillis, failed = false}: RouteEnd,
    now: number,
  ): void {
    const service = this.byService.get(serviceName);
    const upstream = service?.find(agentId);
    if (!service || !upstream) return;
    if (outcome === 'unknown' || failed) {
      upstream.failed(now);
      return;
    }
    const succeeded = outcome === 'answered';
    upstream.answered(answerMillis, succeeded, now);
    if (succeeded) service.answerTimes.add(answerMillis);
  }

  /** Spends the service's budget of extra requests on a retry. */
  mayRetry(serviceName: string, now: number): boolean {
    return this.byService.get(serviceName)?.retryBudget.spend(now) ?? false;
  }

  /** Returns the delay before a hedge; undefined if none may be sent. */
  hedgeDelayMillis(serviceName: string, now: number): number | undefined {
    const service = this.byService.get(serviceName);
    if (!service || service.all().length < 2) return undefined;
    if (!service.hasHealthyUpstream(now)) return undefined;
    const quantile = service.answerTimes.value();
    if (quantile === undefined) return undefined;
    return Math.max(MINIMUM_HEDGE_DELAY_MILLIS, HEDGE_DELAY_FACTOR * quantile);
  }

  /**
   * Spends the budget on a hedge if slots are free and the agent that has the
   * request is not healthy. A request that is slow by itself takes as long on
   * another upstream; hedging it would only take another slot.
   */
  mayHedge(serviceName: string, now: number, agentId?: string): boolean {
    const service = this.byService.get(serviceName);
    if (!service?.hasSpareSlot(now)) return false;
    if (!service.isUnhealthy(agentId, now)) return false;
    return service.retryBudget.spend(now);
  }

  services(): string[] {
    return [...this.byService.keys()];
  }

  /** Returns the state of each upstream by service, for operators. */
  dump(now: number): Record<string, unknown> {
    const services: Record<string, unknown> = {};
    for (const [name, service] of this.byService) {
      services[name] = service.all().map(upstream => upstream.dump(now));
    }
    return {
      policy: this.policy.name,
      services,
      removals: [...this.removals],
      avoidedDomains: [...this.avoidedDomains],
    };
  }

  /** Returns the upstreams that get no requests except probes, by service. */
  ejected(now: number): Map<string, string[]> {
    const ejected = new Map<string, string[]>();
    for (const [name, service] of this.byService) {
      const out = service.all().filter(upstream => isOut(upstream, now));
      ejected.set(
        name,
        out.map(upstream => upstream.agentId),
      );
    }
    return ejected;
  }

  private serviceFor(name: string, now: number): ServiceUpstreams {
    let service = this.byService.get(name);
    if (!service) {
      service = new ServiceUpstreams(this.retryBudgetShare, now);
      this.byService.set(name, service);
    }
    return service;
  }
}

function isOut(upstream: UpstreamState, now: number): boolean {
  const health = upstream.healthAt(now);
  return health === HealthState.EJECTED || health === HealthState.PROBING;
}

function chosen(upstream: UpstreamState, reason: RouteReason): RouteChoice {
  return {kind: 'chosen', agentId: upstream.agentId, reason};
}

function noUpstream(): RouteChoice {
  return {
    kind: 'none',
    code: ResultCodes.NO_UPSTREAM,
    retryAfterMillis: NO_UPSTREAM_RETRY_AFTER_MILLIS,
  };
}

function queueFull(waitMillis: number): RouteChoice {
  const half = Math.ceil(waitMillis / 2);
  return {
    kind: 'none',
    code: ResultCodes.QUEUE_FULL,
    retryAfterMillis: Math.max(MINIMUM_RETRY_AFTER_MILLIS, half),
  };
}
