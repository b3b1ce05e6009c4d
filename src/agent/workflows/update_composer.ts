import type {WorkerReport, WorkerRunEnd} from '../../backends/leased_worker.js';
import type {
  WorkerDescription,
  WorkerUpdate,
} from '../../protocol/generated/burdockmoor.js';
import type {Clock} from '../../utilities/clock.js';
import {RunListSender} from './run_list_sender.js';
import type {WorkerSession} from './worker_session.js';

/**
 * An end without acknowledgement is sent again after this time, which is several
 * times as long as a commit takes while the store is slow.
 */
const REPEAT_END_MILLIS = 3_000;

/** Longer than any lease; a shorter time than the actual one is safe. */
const MAXIMUM_EXCLUSIVE_MILLIS = 3_600_000;

/** Far longer than any silence that makes a difference. */
const MAXIMUM_SILENT_MILLIS = 3_600_000;

/** An update for the owner that is ready to send. */
export interface PreparedUpdate {
  readonly update: WorkerUpdate;
  /** Called once the stream has accepted the update. */
  recordSent(): void;
  /** Called if the stream has not accepted the update. */
  recordUnsent(): void;
}

export interface UpdateComposerOptions {
  readonly processName: string;
  readonly clock: Clock;
  /** For how long no lease but that of the present session was extended. */
  readonly exclusiveMillis: () => number;
}

/**
 * Composes the updates sent to the owner on one stream: full values once, then
 * only changes. This relies on the stream being ordered and lossless.
 */
export class UpdateComposer {
  private listing = new RunListSender();
  private hasNamedAgent = false;
  private incarnation = '';
  private description = '';
  private describedReport: WorkerReport | undefined;
  private sentPollCount = 0;
  private readonly endsSentAt = new Map<number, number>();

  constructor(private readonly options: UpdateComposerOptions) {}

  prepare(
    sequence: number,
    session: WorkerSession | undefined,
  ): PreparedUpdate {
    if (session && session.incarnation !== this.incarnation) {
      this.beginIncarnation(session.incarnation);
    }
    const worker = session && this.newDescription(session);
    const isListed =
      session?.runs && session.answeredPollCount !== this.sentPollCount;
    const listing = isListed ? this.listing.prepare(session.runs) : undefined;
    const ends = session ? this.endsToSend(session.pendingEnds) : [];
    const results = session?.takeResults() ?? [];
    const update: WorkerUpdate = {
      sequence,
      agent: this.hasNamedAgent ? '' : this.options.processName,
      worker,
      listing: listing?.delta,
      ends,
      results,
      silentMillis: Math.min(session?.silentMillis ?? 0, MAXIMUM_SILENT_MILLIS),
      lapsed: session?.reportExpiration() ?? false,
      starting: listing && session ? session.startingNames : [],
      exclusiveMillis: this.hasNamedAgent ? 0 : this.exclusiveMillis,
    };
    const pollCount = session?.answeredPollCount ?? 0;
    return {
      update,
      recordSent: () => {
        this.hasNamedAgent = true;
        if (worker) this.description = JSON.stringify(worker);
        this.describedReport = session?.report;
        this.sentPollCount = pollCount;
        listing?.recordSent();
        this.recordEndsSent(ends);
      },
      recordUnsent: () => session?.returnResults(results),
    };
  }

  private get exclusiveMillis(): number {
    const millis = Math.floor(this.options.exclusiveMillis());
    return Math.min(millis, MAXIMUM_EXCLUSIVE_MILLIS);
  }

  private beginIncarnation(incarnation: string): void {
    this.incarnation = incarnation;
    this.listing = new RunListSender();
    this.description = '';
    this.describedReport = undefined;
    this.sentPollCount = 0;
    this.endsSentAt.clear();
  }

  private newDescription({
    report,
  }: WorkerSession): WorkerDescription | undefined {
    if (report === this.describedReport) return undefined;
    const description = describe(report);
    const isNew = JSON.stringify(description) !== this.description;
    return isNew ? description : undefined;
  }

  private endsToSend(pending: readonly WorkerRunEnd[]): WorkerRunEnd[] {
    const now = this.options.clock.now();
    return pending.filter(({number}) => {
      const sentAt = this.endsSentAt.get(number) ?? -Infinity;
      return now - sentAt > REPEAT_END_MILLIS;
    });
  }

  private recordEndsSent(ends: readonly WorkerRunEnd[]): void {
    const now = this.options.clock.now();
    for (const {number} of ends) this.endsSentAt.set(number, now);
  }

  /** Drops ends up to the number, which the owner has made durable. */
  recordAcknowledged(number: number): void {
    for (const known of this.endsSentAt.keys()) {
      if (known <= number) this.endsSentAt.delete(known);
    }
  }
}

function describe(report: WorkerReport): WorkerDescription {
  return {
    incarnation: report.incarnation,
    service: report.service,
    failureDomain: report.failureDomain,
    rack: report.rack,
    labels: [...report.labels],
    room: report.room,
    draining: report.draining,
    remainingMillis: report.remainingMillis,
  };
}
