import type {RoutingPolicy} from '../../src/decisions/routing/routing_policy.js';
import {ServiceRouter} from '../../src/decisions/routing/service_router.js';
import {Random} from '../../src/utilities/random.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import type {Fault, FaultTarget} from './fault.js';
import {domainOf} from './fleet_size.js';
import type {FleetSize} from './fleet_size.js';
import type {TracedRequest} from './request_trace.js';
import {ServiceRecorder} from './service_recorder.js';
import {SimulatedAgent} from './simulated_agent.js';
import type {AnswerObserver} from './simulated_agent.js';
import {SimulatedEntry} from './simulated_entry.js';

const HEARTBEAT_MILLIS = 1000;
/** Until then the balancer sends requests to an entry that is down. */
const BALANCER_NOTICES_MILLIS = 1000;

export interface SimulationOptions {
  readonly size: FleetSize;
  readonly seed: number;
  readonly trace: readonly TracedRequest[];
  readonly faults: readonly Fault[];
  /** A fresh policy for each entry; undefined: the product's own. */
  readonly policy?: () => RoutingPolicy;
  /** Share of upstreams that may be ejected. */
  readonly maximumEjectedShare?: number;
  readonly hedges: boolean;
  /** Told of each answer, by the executor that gave it. */
  readonly observer?: (executor: number) => AnswerObserver;
}

/** Runs a trace through entries and agents in virtual time. */
export class ServiceSimulation implements FaultTarget {
  private readonly clock = new VirtualClock();
  private readonly random: Random;
  private readonly recorder: ServiceRecorder;
  private readonly agents: SimulatedAgent[] = [];
  private readonly agentsById = new Map<string, SimulatedAgent>();
  private readonly entries: SimulatedEntry[] = [];
  private readonly entryDownSince: Array<number | undefined> = [];
  private runs = 0;

  constructor(private readonly options: SimulationOptions) {
    this.random = new Random(options.seed + 1);
    this.recorder = new ServiceRecorder(options.size);
    const {size} = options;
    for (let index = 0; index < size.entries; index++) {
      this.entries[index] = this.newEntry(index);
    }
    for (let index = 0; index < size.executors; index++) this.newAgent(index);
  }

  /** Runs the whole trace and lets every request end. */
  run(): ServiceRecorder {
    const {trace, faults, size} = this.options;
    for (const {atMillis, apply} of faults) {
      this.clock.schedule(atMillis, () => apply(this));
    }
    for (const request of trace) {
      this.clock.runUntil(request.arrivalMillis);
      this.dispatch(request);
    }
    this.clock.runUntil(this.clock.now() + 2 * size.deadlineMillis);
    return this.recorder;
  }

  setSlowdown(executor: number, factor: number): void {
    this.agents[executor].setSlowdown(factor);
  }

  setFailing(executor: number, failing: boolean): void {
    this.agents[executor].setFailing(failing);
  }

  killVm(executor: number): void {
    this.agents[executor].kill();
  }

  replaceVm(executor: number): void {
    this.newAgent(executor);
  }

  freezeVm(executor: number): void {
    this.agents[executor].freeze();
  }

  thawVm(executor: number): void {
    this.agents[executor].thaw();
  }

  /** The agent tells all entries at once, as on every graceful shutdown. */
  drainVm(executor: number): void {
    this.agents[executor].drain();
    this.announce(this.agents[executor]);
  }

  killEntry(entry: number): void {
    this.entries[entry].kill();
    this.entryDownSince[entry] = this.clock.now();
  }

  freezeEntry(entry: number): void {
    this.entries[entry].freeze();
    this.entryDownSince[entry] = this.clock.now();
  }

  thawEntry(entry: number): void {
    this.entryDownSince[entry] = undefined;
    this.entries[entry].thaw();
  }

  replaceEntry(entry: number): void {
    this.entryDownSince[entry] = undefined;
    this.entries[entry] = this.newEntry(entry);
  }

  /** The balancer leaves out entries that it has noticed to be down. */
  private dispatch(request: TracedRequest): void {
    let entry = request.entry;
    while (this.isKnownDown(entry)) entry = (entry + 1) % this.entries.length;
    if (this.entries[entry].isAlive) {
      this.entries[entry].accept(request);
      return;
    }
    this.recorder.ended('unknown', 0);
  }

  private isKnownDown(entry: number): boolean {
    const since = this.entryDownSince[entry];
    if (since === undefined) return false;
    return this.clock.now() - since > BALANCER_NOTICES_MILLIS;
  }

  private newEntry(index: number): SimulatedEntry {
    const {size, policy, maximumEjectedShare, hedges} = this.options;
    const failureDomain = domainOf(size, index);
    const router = new ServiceRouter({
      ownFailureDomain: failureDomain,
      random: new Random(this.random.below(2 ** 30)),
      policy: policy?.(),
      maximumEjectedShare,
      crossingMillis: 2 * size.crossingMillis,
    });
    return new SimulatedEntry({
      clock: this.clock,
      size,
      router,
      failureDomain,
      recorder: this.recorder,
      agents: this.agentsById,
      hedges,
    });
  }

  private newAgent(index: number): void {
    const {observer, size} = this.options;
    const agent = new SimulatedAgent(this.clock, size, index, this.runs++);
    if (observer) agent.setObserver(observer(index));
    this.agents[index] = agent;
    this.agentsById.set(agent.agentId, agent);
    this.announce(agent);
    const first = this.random.below(HEARTBEAT_MILLIS);
    this.clock.schedule(first, () => this.beat(agent));
  }

  private beat(agent: SimulatedAgent): void {
    if (!agent.isAlive) return;
    if (!agent.isFrozen) this.announce(agent);
    this.clock.schedule(HEARTBEAT_MILLIS, () => this.beat(agent));
  }

  private announce(agent: SimulatedAgent): void {
    const report = agent.report();
    const {size} = this.options;
    for (const [index] of this.entries.entries()) {
      const isNear = domainOf(size, index) === agent.failureDomain;
      const way = isNear ? size.localMillis : size.crossingMillis;
      this.clock.schedule(way, () => this.entries[index].heartbeat(report));
    }
  }
}
