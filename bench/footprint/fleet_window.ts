import {pause} from '../fleet/wait_until.js';
import type {
  EntriesFleet,
  EntryCounters,
  FleetCounters,
} from './entries_fleet.js';

const MILLIS_A_SECOND = 1_000;
const PERCENT = 100;
const WRITE_PATHS = ['/v3/kv/txn', '/v3/kv/put', '/v3/kv/deleterange'];
const READ_PATHS = ['/v3/kv/range'];

/** What several entries used in one window; rates are a second. */
export interface FleetMeasurement {
  readonly point: string;
  readonly corePercentMean: number;
  readonly corePercentMost: number;
  readonly megabytesMean: number;
  readonly megabytesMost: number;
  /** The next figures are the mean of the entries. */
  readonly agentBytes: number;
  readonly peerBytes: number;
  readonly startBytes: number;
  readonly storeBytes: number;
  readonly heartbeats: number;
  /** The last figures are of all entries together. */
  readonly starts: number;
  readonly writes: number;
  readonly reads: number;
}

/** Resolves to what the fleet used while the time went by. */
export async function measureWindow(
  fleet: EntriesFleet,
  point: string,
  windowMillis: number,
): Promise<FleetMeasurement> {
  const before = await fleet.counters();
  await pause(windowMillis);
  return compare(point, before, await fleet.counters());
}

function compare(
  point: string,
  before: FleetCounters,
  after: FleetCounters,
): FleetMeasurement {
  const seconds = (after.atMillis - before.atMillis) / MILLIS_A_SECOND;
  const rates = (read: (entry: EntryCounters) => number) =>
    after.entries.map(
      (entry, index) => (read(entry) - read(before.entries[index])) / seconds,
    );
  const calls = (paths: readonly string[]) =>
    sum(paths.map(path => callsOf(after, path) - callsOf(before, path))) /
    seconds;
  const cores = rates(entry => entry.usage.processorSeconds * PERCENT);
  const megabytes = after.entries.map(entry => entry.usage.residentMegabytes);
  return {
    point,
    corePercentMean: mean(cores),
    corePercentMost: Math.max(...cores),
    megabytesMean: mean(megabytes),
    megabytesMost: Math.max(...megabytes),
    agentBytes: mean(rates(entry => entry.agentBytes)),
    peerBytes: mean(rates(entry => entry.peerBytes)),
    startBytes: mean(rates(entry => entry.startBytes)),
    storeBytes: mean(rates(entry => entry.storeBytes)),
    heartbeats: mean(rates(entry => entry.heartbeats)),
    starts: sum(rates(entry => entry.starts)),
    writes: calls(WRITE_PATHS),
    reads: calls(READ_PATHS),
  };
}

function callsOf(counters: FleetCounters, path: string): number {
  return counters.storeCalls[path] ?? 0;
}

function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
