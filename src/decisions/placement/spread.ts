import type {VmView} from './vm_table.js';

const SAME_RACK_WEIGHT = 2;

/** Counts each team's watchers by location, so that one fault stops few. */
export class Spread {
  private readonly counts = new Map<string, number>();

  add(team: string, view: VmView): void {
    this.change(team, view, 1);
  }

  remove(team: string, view: VmView): void {
    this.change(team, view, -1);
  }

  /**
   * Returns the share of the team's watchers in the VM's failure domain, plus
   * the weighted share of those in its rack.
   */
  crowding(team: string, view: VmView): number {
    const total = this.counts.get(team) ?? 0;
    if (total === 0) return 0;
    const near =
      (this.counts.get(domainKey(team, view)) ?? 0) +
      SAME_RACK_WEIGHT * (this.counts.get(rackKey(team, view)) ?? 0);
    return near / total;
  }

  private change(team: string, view: VmView, difference: number): void {
    for (const key of [team, domainKey(team, view), rackKey(team, view)]) {
      const count = (this.counts.get(key) ?? 0) + difference;
      if (count > 0) this.counts.set(key, count);
      else this.counts.delete(key);
    }
  }
}

function domainKey(team: string, view: VmView): string {
  return `${team}/${view.failureDomain}`;
}

function rackKey(team: string, view: VmView): string {
  return `${team}/${view.failureDomain}/${view.rack}`;
}
