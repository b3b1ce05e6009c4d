import {HealthState, UpstreamHealth} from './upstream_health.js';
import type {UpstreamReport} from './upstream_report.js';
import type {UpstreamView} from './routing_policy.js';

/** Weight of the newest answer time in the smoothed one. */
const ANSWER_SMOOTHING = 0.05;

/** One upstream of a service, as this entry sees it. */
export class UpstreamState implements UpstreamView {
  readonly health = new UpstreamHealth();
  isAvoided = false;
  ownInFlight = 0;
  private answerMillis = 0;
  private loadReported = 0;
  private reportedAt: number | undefined;
  /** Own requests sent, less those ended, since the last report. */
  private ownSinceReport = 0;
  /** Send times of own requests that a report may not count yet. */
  private recentlySent: number[] = [];

  constructor(
    private report: UpstreamReport,
    readonly isLocal: boolean,
    /** Round trip to the upstream, in milliseconds. */
    private readonly roundTripMillis: number,
  ) {
    this.loadReported = report.inFlight + report.queued;
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
    const load = this.loadReported + this.ownSinceReport;
    return Math.max(load, this.ownInFlight);
  }

  /** Whether it says that it can take requests. */
  get isOpen(): boolean {
    return !this.report.draining && !this.report.unavailable;
  }

  applyReport(report: UpstreamReport, now: number): void {
    const wasOpen = this.isOpen;
    this.report = report;
    this.reportedAt = now;
    this.loadReported = report.inFlight + report.queued;
    this.ownSinceReport = this.countUnreported(now);
    this.health.heard(this.ownInFlight, now);
    if (!wasOpen && this.isOpen) this.health.returned(now);
  }

  /** Counts a request that goes to the upstream now. */
  sent(now: number): void {
    this.ownInFlight++;
    this.ownSinceReport++;
    this.recentlySent.push(now);
    this.health.sent(now);
  }

  /** Counts an answer, or a true word that the request did not run. */
  answered(answerMillis: number, succeeded: boolean, now: number): void {
    this.endOne(now);
    this.health.heard(this.ownInFlight, now);
    if (!succeeded) return;
    this.health.succeeded(now);
    const weight = this.answerMillis === 0 ? 1 : ANSWER_SMOOTHING;
    this.answerMillis += weight * (answerMillis - this.answerMillis);
  }

  /** Counts a request whose outcome nobody knows. */
  failed(now: number): void {
    this.endOne(now);
    this.health.failed(now);
  }

  healthAt(now: number): HealthState {
    return this.health.stateAt(now, this.answerMillis, this.ownInFlight);
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

  /** The report that came along with the answer counts it as ended. */
  private endOne(now: number): void {
    this.ownInFlight = Math.max(0, this.ownInFlight - 1);
    if (this.reportedAt !== now) this.ownSinceReport--;
  }

  /** Own requests that were still on their way as the report left. */
  private countUnreported(now: number): number {
    const earliest = now - this.roundTripMillis;
    this.recentlySent = this.recentlySent.filter(time => time > earliest);
    return Math.min(this.recentlySent.length, this.ownInFlight);
  }
}
