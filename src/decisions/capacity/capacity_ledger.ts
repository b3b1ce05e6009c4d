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
    if (!this.hasRoomFor(size)) return false;
    this.add(holder, size);
    return true;
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

  private hasRoomFor(size: Resources): boolean {
    return fitsInto(NO_RESOURCES, this.free) && fitsInto(size, this.free);
  }

  private add(holder: string, size: Resources): void {
    this.sizes.set(holder, size);
    this.total = addResources(this.total, size);
  }
}
