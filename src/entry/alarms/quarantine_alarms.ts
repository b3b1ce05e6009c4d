import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';

/** The part of a shard's owner that the alarms use. */
interface QuarantineSource {
  readonly shard: number;
  readonly scheduler: {quarantinedVms(now: number): readonly string[]};
}

/** Logs VMs that shards of this entry quarantine, and their release. */
export class QuarantineAlarms {
  private quarantined: ReadonlyMap<number, ReadonlySet<string>> = new Map();

  constructor(private readonly logger: Logger) {}

  /** Called about once a second. */
  check(owners: Iterable<QuarantineSource>, now: number): void {
    const quarantined = new Map<number, ReadonlySet<string>>();
    for (const {shard, scheduler} of owners) {
      const quarantinedBefore =
        this.quarantined.get(shard) ?? new Set<string>();
      const quarantinedNow = new Set(scheduler.quarantinedVms(now));
      quarantined.set(shard, quarantinedNow);
      for (const vm of quarantinedNow) {
        if (quarantinedBefore.has(vm)) continue;
        this.logger.event(Events.VM_QUARANTINED, {vm, shard});
      }
      for (const vm of quarantinedBefore) {
        if (quarantinedNow.has(vm)) continue;
        this.logger.event(Events.VM_RELEASED, {vm, shard});
      }
    }
    this.quarantined = quarantined;
  }
}
