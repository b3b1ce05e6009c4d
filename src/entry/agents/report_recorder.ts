import type {
  ReportAttemptsReply,
  ReportAttemptsRequest,
} from '../../protocol/generated/burdockmoor.js';
import type {Clock} from '../../utilities/clock.js';
import type {ShardOwner} from '../shards/shard_owner.js';
import {attemptReportOf} from './attempt_messages.js';

/** Records agents' reports of attempts, and acknowledges those in the log. */
export class ReportRecorder {
  constructor(
    private readonly owned: ReadonlyMap<number, ShardOwner>,
    private readonly clock: Clock,
  ) {}

  /** Resolves once the reports are in the log, or the entry lost the shard. */
  async record(request: ReportAttemptsRequest): Promise<ReportAttemptsReply> {
    const owner = this.owned.get(request.shard);
    if (!owner || owner.isDropped) return {recorded: [], notOwner: true};
    const reports = request.reports.map(attemptReportOf);
    owner.scheduler.applyReports(
      request.agentId,
      reports,
      this.clock.now(),
      this.clock.wallTime(),
    );
    try {
      await owner.waitUntilDurable();
    } catch {
      return {recorded: [], notOwner: true};
    }
    const names = reports.map(report => report.name);
    const recorded = [...owner.scheduler.recordedReports(names)];
    return {recorded, notOwner: false};
  }
}
