import type {Resources} from '../../src/utilities/resources.js';

/** One VM of a fleet, and the service beside its batch tasks. */
export interface SimulatedVmOptions {
  readonly vm: string;
  readonly failureDomain: string;
  readonly rack: string;
  readonly capacity: Resources;
  readonly service: string;
  readonly serviceSize: Resources;
}
