import {
  addResources,
  fitsInto,
  NO_RESOURCES,
  subtractResources,
} from '../../utilities/resources.js';
import type {Resources} from '../../utilities/resources.js';

/**
 * Committed resources of a VM, by holder. The reserved sizes never add up to
 * more than the capacity, except for sizes adopted because they already run.
 */
export class CapacityLedger {
  private readonly sizes = new Map<string, Resources>();
  private total: Resources = NO_RESOURCES;
  /** Sizes that others must leave free, by the holder waiting for them. */
  private readonly claims = new Map<string, Resources>();

  constructor(private currentCapacity: Resources = NO_RESOURCES) {}

  get capacity(): Resources {
    return this.currentCapacity;
  }

  get committed(): Resources {
    return this.total;
  }

  /** Free capacity; a resource is negative if more is committed than exists. */
  get free(): Resources {
    return subtractResources(this.currentCapacity, this.total);
  }

  has(holder: string): boolean {
    return this.sizes.has(holder);
  }

  /** Reserves the size if it fits; true if the holder already has a size. */
  reserve(holder: string, size: Resources): boolean {
    if (this.sizes.has(holder)) return true;
    if (!this.hasCapacityFor(holder, size)) return false;
    this.claims.delete(holder);
    this.add(holder, size);
    return true;
  }

  /** Keeps capacity that becomes free for the holder until it reserves. */
  claim(holder: string, size: Resources): void {
    this.claims.set(holder, size);
  }

  unclaim(holder: string): void {
    this.claims.delete(holder);
  }

  /** Returns the free capacity minus the claims of other holders. */
  freeFor(holder: string): Resources {
    let free = this.free;
    for (const [other, size] of this.claims) {
      if (other !== holder) free = subtractResources(free, size);
    }
    return free;
  }

  /** Commits a size that is already running, even if it does not fit. */
  adopt(holder: string, size: Resources): void {
    this.release(holder);
    this.add(holder, size);
  }

  /** Releases the holder's size; does nothing if it has none. */
  release(holder: string): void {
    const size = this.sizes.get(holder);
    if (!size) return;
    this.sizes.delete(holder);
    this.total = subtractResources(this.total, size);
  }

  setCapacity(capacity: Resources): void {
    this.currentCapacity = capacity;
  }

  private hasCapacityFor(holder: string, size: Resources): boolean {
    const free = this.freeFor(holder);
    return fitsInto(NO_RESOURCES, this.free) && fitsInto(size, free);
  }

  private add(holder: string, size: Resources): void {
    this.sizes.set(holder, size);
    this.total = addResources(this.total, size);
  }
}
