import {NO_RESOURCES, addResources} from '../../utilities/resources.js';
import type {ShardState} from '../jobs/shard_state.js';

/** Forgets VMs that have gone and adds up the size of those that remain. */
export class FleetCensus {
  constructor(private readonly state: ShardState) {}

  run(now: number): void {
    const {attempts, ledger, limits, vms} = this.state;
    let capacity = NO_RESOURCES;
    for (const vm of [...vms.vms]) {
      const silent = now - vm.answeredAt;
      if (silent > limits.vmForgottenMillis && !attempts.isOn(vm.view.vm)) {
        vms.remove(vm.view.vm);
        continue;
      }
      capacity = addResources(capacity, vm.view.capacity);
    }
    ledger.setCapacity(capacity);
  }
}
