/** Which VMs a fleet has, and where. */

export interface FleetVm {
  readonly name: string;
  readonly failureDomain: string;
  readonly rack: string;
  readonly milliprocessors: number;
  readonly memoryMegabytes: number;
}

export interface FleetEntry {
  readonly name: string;
  readonly failureDomain: string;
}

export interface FleetLayout {
  readonly region: string;
  readonly team: string;
  readonly service: string;
  readonly entries: readonly FleetEntry[];
  readonly vms: readonly FleetVm[];
}

const VM_SIZE = {milliprocessors: 16_000, memoryMegabytes: 60_000};

/** Two entries and three VMs, one in each failure domain. */
export const SMALL_FLEET: FleetLayout = {
  region: 'accra',
  team: 'asantewaa',
  service: 'rounds',
  entries: [
    {name: 'entry-1', failureDomain: 'kaneshie'},
    {name: 'entry-2', failureDomain: 'tema'},
  ],
  vms: [
    {name: 'vm-1', failureDomain: 'kaneshie', rack: 'rack-1', ...VM_SIZE},
    {name: 'vm-2', failureDomain: 'tema', rack: 'rack-2', ...VM_SIZE},
    {name: 'vm-3', failureDomain: 'madina', rack: 'rack-3', ...VM_SIZE},
  ],
};

/** The least in which each role has a second one to take over. */
export const PAIR_FLEET: FleetLayout = {
  ...SMALL_FLEET,
  vms: SMALL_FLEET.vms.slice(0, 2),
};

/** Addresses of a fleet's processes by their names and purposes. */
export class FleetAddresses {
  private readonly taken = new Map<string, string>();

  constructor(private readonly free: string[]) {}

  /** The same address each time for the same name and purpose. */
  of(name: string, purpose = 'main'): string {
    const key = `${name}/${purpose}`;
    const known = this.taken.get(key);
    if (known) return known;
    const address = this.free.pop();
    if (!address) throw new Error(`no free address is left for ${key}`);
    this.taken.set(key, address);
    return address;
  }
}
