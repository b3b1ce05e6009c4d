/** Sizes of VMs and tasks in integer units, so that sums are exact. */
export interface Resources {
  readonly milliprocessors: number;
  readonly memoryMegabytes: number;
  readonly accelerators: number;
}

export const NO_RESOURCES: Resources = {
  milliprocessors: 0,
  memoryMegabytes: 0,
  accelerators: 0,
};

export function addResources(left: Resources, right: Resources): Resources {
  return {
    milliprocessors: left.milliprocessors + right.milliprocessors,
    memoryMegabytes: left.memoryMegabytes + right.memoryMegabytes,
    accelerators: left.accelerators + right.accelerators,
  };
}

export function subtractResources(
  left: Resources,
  right: Resources,
): Resources {
  return {
    milliprocessors: left.milliprocessors - right.milliprocessors,
    memoryMegabytes: left.memoryMegabytes - right.memoryMegabytes,
    accelerators: left.accelerators - right.accelerators,
  };
}

/** Returns the larger value of each resource. */
export function maximumResources(left: Resources, right: Resources): Resources {
  return {
    milliprocessors: Math.max(left.milliprocessors, right.milliprocessors),
    memoryMegabytes: Math.max(left.memoryMegabytes, right.memoryMegabytes),
    accelerators: Math.max(left.accelerators, right.accelerators),
  };
}

/** True if the size fits into the free capacity in every resource. */
export function fitsInto(size: Resources, free: Resources): boolean {
  return (
    size.milliprocessors <= free.milliprocessors &&
    size.memoryMegabytes <= free.memoryMegabytes &&
    size.accelerators <= free.accelerators
  );
}
