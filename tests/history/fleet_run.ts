import type {Logger} from '../../src/observability/logger.js';
import {ALL_CHECKERS} from './checkers/all_checkers.js';
import {FaultInjector} from './fault_injector.js';
import type {PlannedFault} from './fault_injector.js';
import type {HistoryEvent, Violation} from './history.js';
import {VirtualFleet} from './virtual_fleet.js';
import {Workload} from './workload.js';

const BOOT_MILLIS = 8_000;
const WORK_MILLIS = 30_000;
const QUIET_CHECK_MILLIS = 5_000;
/** Time for all jobs to be shown when the run is over. */
const RECORD_MILLIS = 60_000;
/** By then all faults are over and all work can have ended. */
const LATEST_END_MILLIS = 240_000;

export interface FleetRunResult {
  readonly violations: readonly Violation[];
  readonly injected: readonly PlannedFault[];
  readonly occurrences: ReadonlyMap<string, number>;
  readonly events: readonly HistoryEvent[];
}

/** Runs a fleet with the planned faults and judges its history. */
export async function runFleet(
  seed: number,
  plan: readonly PlannedFault[],
  options: {logger?: Logger} = {},
): Promise<FleetRunResult> {
  const injector = new FaultInjector(plan);
  const fleet = new VirtualFleet(seed, injector, options.logger);
  const workload = new Workload(fleet);
  await fleet.runUntil(BOOT_MILLIS - 2_000);
  void workload.prepare();
  await fleet.runUntil(BOOT_MILLIS);
  workload.begin();
  injector.begin(workload);
  await fleet.runUntil(BOOT_MILLIS + WORK_MILLIS);
  workload.end();
  injector.end();
  await runUntilQuiet(fleet, workload);
  let recorded = false;
  void workload.recordEnds().then(() => (recorded = true));
  const deadline = fleet.clock.now() + RECORD_MILLIS;
  while (!recorded && fleet.clock.now() < deadline) {
    await fleet.runUntil(fleet.clock.now() + 100);
  }
  fleet.dispose();
  const {events} = fleet.history;
  return {
    violations: ALL_CHECKERS.flatMap(checker => checker.check(events)),
    injected: injector.injected,
    occurrences: injector.occurrences,
    events,
  };
}

async function runUntilQuiet(
  fleet: VirtualFleet,
  workload: Workload,
): Promise<void> {
  while (fleet.clock.now() < LATEST_END_MILLIS) {
    let ended = false;
    void workload.allEnded().then(all => (ended = all));
    await fleet.runUntil(fleet.clock.now() + QUIET_CHECK_MILLIS);
    if (ended) return;
  }
}
