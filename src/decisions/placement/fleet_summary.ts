import {NO_RESOURCES, addResources} from '../../utilities/resources.js';
import type {ShardState} from '../jobs/shard_state.js';

/**
 * Removes VMs that have neither recent heartbeats nor open attempts, and sums
 * the capacity of the others.
 */
export class FleetSummary {
  constructor(private readonly state: ShardState) {}

  run(now: number): void {
    const {attempts, ledger, limits, vms} = this.state;
    let capacity = NO_RESOURCES;
    for (const vm of [...vms.vms]) {
      const silentMillis = now - vm.lastHeartbeatAt;
      if (silentMillis > limits.vmRemovalMillis && !attempts.isOn(vm.view.vm)) {
        vms.remove(vm.view.vm);
        continue;
      }
      capacity = addResources(capacity, vm.view.capacity);
    }
    ledger.setCapacity(capacity);
  }
}
