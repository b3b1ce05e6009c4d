import type {FleetProcessSettings} from '../platform/platform_settings.js';

/** Leaves the worker's own limit a margin for its clock. */
const LEASE_SHARE = 0.95;

/** How long runs go on without word from the owner, in milliseconds. */
export function runLeaseMillis(settings: FleetProcessSettings): number {
  return Math.floor(settings.maximumLeaseMillis * LEASE_SHARE);
}

/** Parts of a HOST:PORT. */
export function hostAndPort(address: string): {host: string; port: number} {
  const {hostname, port} = new URL(`http://${address}`);
  return {host: hostname, port: Number(port)};
}
