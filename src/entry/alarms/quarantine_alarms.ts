import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';

/** What is asked of the owner of a shard. */
interface QuarantiningOwner {
  readonly shard: number;
  readonly scheduler: {quarantinedVms(now: number): readonly string[]};
}

/** Logs VMs that shards of this entry stop using, and use again. */
export class QuarantineAlarms {
  private quarantined: ReadonlyMap<number, ReadonlySet<string>> = new Map();

  constructor(private readonly logger: Logger) {}

  /** To be called every second or so. */
  check(owners: Iterable<QuarantiningOwner>, now: number): void {
    const quarantined = new Map<number, ReadonlySet<string>>();
    for (const {shard, scheduler} of owners) {
      const before = this.quarantined.get(shard) ?? new Set<string>();
      const vms = new Set(scheduler.quarantinedVms(now));
      quarantined.set(shard, vms);
      for (const vm of vms) {
        if (before.has(vm)) continue;
        this.logger.event(Events.VM_QUARANTINED, {vm, shard});
      }
      for (const vm of before) {
        if (vms.has(vm)) continue;
        this.logger.event(Events.VM_RELEASED, {vm, shard});
      }
    }
    this.quarantined = quarantined;
  }
}
