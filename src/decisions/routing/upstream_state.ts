import {HealthState, UpstreamHealth} from './upstream_health.js';
import type {UpstreamReport} from './upstream_report.js';
import type {UpstreamView} from './routing_policy.js';

/** Weight of the newest response time in the smoothed one. */
const ANSWER_SMOOTHING = 0.05;
/** Weight of the newest report in the usual load of other entries. */
const OTHERS_SMOOTHING = 0.05;
/** Time constant by which a reported load of others decays to the usual. */
const OTHERS_HORIZON_SERVICE_TIMES = 0.3;
const UNKNOWN_SERVICE_MILLIS = 10;

/** One upstream of a service, as this entry sees it. */
export class UpstreamState implements UpstreamView {
  readonly health = new UpstreamHealth();
  isAvoided = false;
  ownInFlight = 0;
  private answerMillis = 0;
  private reportedAt: number;
  /** Requests of other entries in the last report. */
  private othersReported = 0;
  /** Smoothed number of requests of other entries. */
  private othersUsual = 0;
  private othersExpected = 0;
  /** Send times of own requests that a report may not count yet. */
  private recentlySent: number[] = [];

  constructor(
    private report: UpstreamReport,
    readonly isLocal: boolean,
    /** Round trip to the upstream, in milliseconds. */
    private readonly roundTripMillis: number,
    now: number,
  ) {
    this.reportedAt = now;
    this.othersReported = report.inFlight + report.queued;
    this.othersUsual = this.othersReported;
    this.othersExpected = this.othersReported;
  }

  get agentId(): string {
    return this.report.agentId;
  }

  get failureDomain(): string {
    return this.report.failureDomain;
  }

  get slots(): number {
    return this.report.slots;
  }

  get serviceMillis(): number {
    return this.report.serviceMillis;
  }

  get estimatedLoad(): number {
    return this.ownInFlight + this.othersExpected;
  }

  /** True if the last report says that it accepts requests. */
  get isOpen(): boolean {
    return !this.report.draining && !this.report.unavailable;
  }

  applyReport(report: UpstreamReport, now: number): void {
    const wasOpen = this.isOpen;
    this.report = report;
    this.reportedAt = now;
    const ownReported = this.ownInFlight - this.countUnreported(now);
    const load = report.inFlight + report.queued;
    this.othersReported = Math.max(0, load - ownReported);
    this.othersExpected = this.othersReported;
    this.othersUsual +=
      OTHERS_SMOOTHING * (this.othersReported - this.othersUsual);
    this.health.recordMessage(this.ownInFlight, now);
    if (!wasOpen && this.isOpen) this.health.returned(now);
  }

  /** Called when a request is sent to the upstream. */
  sent(now: number): void {
    this.ownInFlight++;
    this.dropReported(now);
    this.recentlySent.push(now);
    this.health.sent(now);
  }

  /** Called on a response, or a reliable report that the request didn't run. */
  answered(answerMillis: number, succeeded: boolean, now: number): void {
    this.endOne();
    this.health.recordMessage(this.ownInFlight, now);
    if (!succeeded) return;
    this.health.succeeded(now);
    const weight = this.answerMillis === 0 ? 1 : ANSWER_SMOOTHING;
    this.answerMillis += weight * (answerMillis - this.answerMillis);
  }

  /** Called when a request failed or its outcome is unknown. */
  failed(now: number): void {
    this.endOne();
    this.health.failed(now);
  }

  healthAt(now: number): HealthState {
    return this.health.stateAt(now, this.answerMillis, this.ownInFlight);
  }

  /**
   * Updates the load estimate: the older the report, the more the usual load of
   * other entries counts instead of the reported one.
   */
  refresh(now: number): void {
    const ageMillis = now - this.reportedAt;
    const serviceMillis = this.report.serviceMillis || UNKNOWN_SERVICE_MILLIS;
    const horizonMillis = OTHERS_HORIZON_SERVICE_TIMES * serviceMillis;
    const weight = Math.exp(-ageMillis / horizonMillis);
    this.othersExpected =
      this.othersUsual + weight * (this.othersReported - this.othersUsual);
  }

  dump(now: number): Record<string, unknown> {
    return {
      ...this.report,
      isLocal: this.isLocal,
      ownInFlight: this.ownInFlight,
      estimatedLoad: this.estimatedLoad,
      answerMillis: this.answerMillis,
      health: this.healthAt(now),
      slowStartShare: this.health.slowStartShare(now),
    };
  }

  private endOne(): void {
    this.ownInFlight = Math.max(0, this.ownInFlight - 1);
  }

  /** Returns the own requests sent too recently for the report to count. */
  private countUnreported(now: number): number {
    this.dropReported(now);
    return Math.min(this.recentlySent.length, this.ownInFlight);
  }

  private dropReported(now: number): void {
    const earliest = now - this.roundTripMillis;
    while (this.recentlySent[0] <= earliest) this.recentlySent.shift();
  }
}
