import {
  addResources,
  fitsInto,
  NO_RESOURCES,
  subtractResources,
} from '../../utilities/resources.js';
import type {Resources} from '../../utilities/resources.js';

/**
 * What a VM has committed, by holder. The reserved sizes never add up to more
 * than the capacity, except for what was found already running.
 */
export class CapacityLedger {
  private readonly sizes = new Map<string, Resources>();
  private total: Resources = NO_RESOURCES;
  /** Sizes that others must leave free, by the holder that waits for them. */
  private readonly claims = new Map<string, Resources>();

  constructor(private currentCapacity: Resources = NO_RESOURCES) {}

  get capacity(): Resources {
    return this.currentCapacity;
  }

  get committed(): Resources {
    return this.total;
  }

  /** What is left; a kind is negative where more was adopted than exists. */
  get free(): Resources {
    return subtractResources(this.currentCapacity, this.total);
  }

  has(holder: string): boolean {
    return this.sizes.has(holder);
  }

  /** Reserves the size unless it doesn't fit; again for a holder is harmless. */
  reserve(holder: string, size: Resources): boolean {
    if (this.sizes.has(holder)) return true;
    if (!this.hasRoomFor(holder, size)) return false;
    this.claims.delete(holder);
    this.add(holder, size);
    return true;
  }

  /** Keeps room that becomes free for the holder until it reserves. */
  claim(holder: string, size: Resources): void {
    this.claims.set(holder, size);
  }

  unclaim(holder: string): void {
    this.claims.delete(holder);
  }

  /** What is left to the holder, besides what others wait for. */
  freeFor(holder: string): Resources {
    let free = this.free;
    for (const [other, size] of this.claims) {
      if (other !== holder) free = subtractResources(free, size);
    }
    return free;
  }

  /** Counts what runs already, whether it fits or not. */
  adopt(holder: string, size: Resources): void {
    this.release(holder);
    this.add(holder, size);
  }

  /** Gives the holder's size back; harmless when it holds none. */
  release(holder: string): void {
    const size = this.sizes.get(holder);
    if (!size) return;
    this.sizes.delete(holder);
    this.total = subtractResources(this.total, size);
  }

  setCapacity(capacity: Resources): void {
    this.currentCapacity = capacity;
  }

  private hasRoomFor(holder: string, size: Resources): boolean {
    const free = this.freeFor(holder);
    return fitsInto(NO_RESOURCES, this.free) && fitsInto(size, free);
  }

  private add(holder: string, size: Resources): void {
    this.sizes.set(holder, size);
    this.total = addResources(this.total, size);
  }
}
