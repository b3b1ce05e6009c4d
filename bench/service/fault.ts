/** What can happen to a fleet in a scenario; the central queue knows at once. */
export interface FaultTarget {
  setSlowdown(executor: number, factor: number): void;
  setFailing(executor: number, failing: boolean): void;
  /** The VM and all on it are gone. */
  killVm(executor: number): void;
  /** A fresh VM takes the place of a lost one. */
  replaceVm(executor: number): void;
  /** The VM's processes stand still until the thaw. */
  freezeVm(executor: number): void;
  thawVm(executor: number): void;
  /** A graceful shutdown: taken requests still run. */
  drainVm(executor: number): void;
  killEntry(entry: number): void;
  freezeEntry(entry: number): void;
  thawEntry(entry: number): void;
  /** A fresh entry takes the place of a lost one. */
  replaceEntry(entry: number): void;
}

export interface Fault {
  readonly atMillis: number;
  readonly apply: (target: FaultTarget) => void;
}
