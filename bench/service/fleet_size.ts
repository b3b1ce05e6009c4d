/** One of the fleets that the scenarios run on. */
export interface FleetSize {
  readonly name: string;
  readonly failureDomains: readonly string[];
  /** One way between failure domains and within one, in milliseconds. */
  readonly crossingMillis: number;
  readonly localMillis: number;
  /** One way between caller and entry, in milliseconds. */
  readonly callerMillis: number;
  readonly executors: number;
  readonly slots: number;
  readonly connections: number;
  readonly entries: number;
  /** Mean time that a request holds a slot. */
  readonly meanServiceMillis: number;
  readonly deadlineMillis: number;
}

const COMMON = {
  crossingMillis: 1.5,
  localMillis: 0.25,
  executors: 11,
  slots: 8,
  connections: 64,
  entries: 3,
};

export const fleetSizes: readonly FleetSize[] = [
  {
    ...COMMON,
    name: 'asantewaa',
    failureDomains: ['Kaneshie', 'Tema', 'Madina'],
    callerMillis: 3,
    meanServiceMillis: 30,
    deadlineMillis: 2000,
  },
  {
    ...COMMON,
    name: 'sfax',
    failureDomains: ['Sfax', 'Gabes', 'Mahres'],
    callerMillis: 1,
    meanServiceMillis: 20,
    deadlineMillis: 1000,
  },
];

/** Executors are dealt out to the failure domains in turn. */
export function domainOf(size: FleetSize, index: number): string {
  return size.failureDomains[index % size.failureDomains.length];
}
