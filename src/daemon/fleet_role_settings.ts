import type {HttpListener} from '../http/http_listener.js';
import {Events} from '../observability/events.js';
import type {Logger} from '../observability/logger.js';
import {readPlatformSettings} from '../platform/platform_settings.js';
import type {FleetProcessSettings} from '../platform/platform_settings.js';
import {messageOf} from '../utilities/base_error.js';

/**
 * Resources that the owner of a pool of 300 workers needs, with a margin;
 * docs/design/scale.md has the calculation.
 */
const REQUIRED_OWNER_PROCESSORS = 1;
const REQUIRED_OWNER_LINK_MEGABITS = 50;

/** Port of metrics and state dumps; must match the port in the deploy file. */
const METRICS_PORT = 9464;

/** Serves metrics; the process keeps running if the port is unavailable. */
export function listenForMetrics(
  listener: HttpListener,
  host: string,
  logger: Logger,
): void {
  listener.listen(host, METRICS_PORT).catch((error: unknown) =>
    logger.event(Events.UNEXPECTED_FAULT, {
      reason: `Metrics are not served: ${messageOf(error)}.`,
    }),
  );
}

/** Returns the share of an owner's load that the machine can carry, 0 to 1. */
export function ownerCapacity(settings: FleetProcessSettings): number {
  const {processors, linkMegabits} = settings;
  return Math.min(
    1,
    processors / REQUIRED_OWNER_PROCESSORS,
    linkMegabits / REQUIRED_OWNER_LINK_MEGABITS,
  );
}

/** Splits HOST:PORT. */
export function hostAndPort(address: string): {host: string; port: number} {
  const {hostname, port} = new URL(`http://${address}`);
  return {host: hostname, port: Number(port)};
}

/** Returns the names of settings that the platform changed since startup. */
export function changedSettings(initial: FleetProcessSettings): string[] {
  const current = readPlatformSettings();
  const names = Object.keys(current) as Array<keyof FleetProcessSettings>;
  return names.filter(
    name => JSON.stringify(current[name]) !== JSON.stringify(initial[name]),
  );
}
