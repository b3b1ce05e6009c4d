import {Events} from '../../observability/events.js';
import type {Logger} from '../../observability/logger.js';

/** The part of the service router that the alarms use. */
interface EjectionSource {
  ejected(now: number): ReadonlyMap<string, readonly string[]>;
}

/** Logs upstreams that are ejected after failures, and their readmission. */
export class EjectionAlarms {
  private ejected: ReadonlyMap<string, ReadonlySet<string>> = new Map();

  constructor(
    private readonly router: EjectionSource,
    private readonly logger: Logger,
  ) {}

  /** Called about once a second. */
  check(now: number): void {
    const ejected = new Map<string, ReadonlySet<string>>();
    for (const [service, vms] of this.router.ejected(now)) {
      const ejectedBefore = this.ejected.get(service) ?? new Set<string>();
      const ejectedNow = new Set(vms);
      ejected.set(service, ejectedNow);
      for (const vm of ejectedNow) {
        if (ejectedBefore.has(vm)) continue;
        this.logger.event(Events.UPSTREAM_EJECTED, {service, vm});
      }
      for (const vm of ejectedBefore) {
        if (ejectedNow.has(vm)) continue;
        this.logger.event(Events.UPSTREAM_READMITTED, {service, vm});
      }
    }
    this.ejected = ejected;
  }
}
