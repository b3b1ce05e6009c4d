import {readFileSync} from 'node:fs';
import {
  array,
  boolean,
  fallback,
  flatten,
  integer,
  minValue,
  number,
  object,
  optional,
  pipe,
  safeParse,
  strictObject,
  string,
} from 'valibot';
import {NO_SCHEDULING_FEATURES} from '../decisions/workflows/scheduling_features.js';
import type {SchedulingFeatures} from '../decisions/workflows/scheduling_features.js';
import {BaseError} from '../utilities/base_error.js';
import {parseJsonOrUndefined} from './json_parsing.js';
import {hostOf} from './wire_values.js';

/** Environment variable with the path of the settings file. */
const SETTINGS_VARIABLE = 'BURDOCKMOOR_CONFIG';

const DEFAULT_DESCRIPTORS = 4_096;
const DEFAULT_WRITES_PER_SECOND = 400;
const DEFAULT_READS_PER_SECOND = 2_000;

/** The settings that the platform passes to a process are unusable. */
export const PlatformSettingsError = BaseError.subclass(
  'PlatformSettingsError',
);

const platformSchema = object({
  NodeName: string(),
  Ip: string(),
  Zone: string(),
  /** The service whose worker is on this machine. */
  Service: fallback(optional(string()), undefined),
  /** HOST:PORT at which that worker takes calls. */
  app: fallback(optional(string()), undefined),
  PortRange: array(number()),
  Seeds: fallback(array(string()), []),
  Listen: object({
    Front: optional(string()),
    Ready: optional(string()),
    Control: optional(string()),
  }),
  Bounds: object({
    HoldMaxMs: number(),
    status_s: number(),
  }),
  Limits: optional(
    object({
      CpuShare: fallback(number(), 1),
      Cores: fallback(number(), 1),
      LinkMbps: fallback(number(), 1_000),
      MaxFds: fallback(number(), DEFAULT_DESCRIPTORS),
    }),
    {CpuShare: 1, Cores: 1, LinkMbps: 1_000, MaxFds: DEFAULT_DESCRIPTORS},
  ),
  platform: object({
    Address: string(),
    WritesPerS: fallback(number(), DEFAULT_WRITES_PER_SECOND),
    ReadsPerS: fallback(number(), DEFAULT_READS_PER_SECOND),
  }),
});

const featureSchema = optional(boolean(), false);
const limitSchema = optional(pipe(number(), integer(), minValue(1)));

/** The file that the deploy template renders. */
const settingsSchema = object({
  platform: platformSchema,
  scheduling: optional(
    strictObject({
      probes: featureSchema,
      sharedInterference: featureSchema,
      learnedDurations: featureSchema,
      copies: featureSchema,
      reservations: featureSchema,
      admission: featureSchema,
    }),
    NO_SCHEDULING_FEATURES,
  ),
  /** Limits of the listeners, in place of their defaults. */
  limits: optional(
    strictObject({
      callerConnections: limitSchema,
      healthConnections: limitSchema,
      reportConnections: limitSchema,
      metricsConnections: limitSchema,
      processConnections: limitSchema,
      callsPerConnection: limitSchema,
      callBytes: limitSchema,
      bodyBytes: limitSchema,
      unsentMillis: limitSchema,
    }),
    {},
  ),
});

/** Limits of listeners that a deployment sets; the others have defaults. */
export interface ListenerLimitSettings {
  readonly callerConnections?: number;
  readonly healthConnections?: number;
  readonly reportConnections?: number;
  readonly metricsConnections?: number;
  readonly processConnections?: number;
  readonly callsPerConnection?: number;
  readonly callBytes?: number;
  readonly bodyBytes?: number;
  readonly unsentMillis?: number;
}

/** Settings that the platform passes to a process of the fleet at its start. */
export interface FleetProcessSettings {
  readonly processName: string;
  readonly ip: string;
  readonly failureDomain: string;
  /** Service of the worker on this machine; undefined without one. */
  readonly workerService?: string;
  /** Hosts of the worker on this machine. */
  readonly workerHosts: readonly string[];
  /** First port available for calls between processes. */
  readonly processPort: number;
  /** Hosts of processes to contact first; some may no longer exist. */
  readonly seedHosts: readonly string[];
  /** HOST:PORT for callers. */
  readonly callerAddress?: string;
  /** HOST:PORT for the balancer's health check. */
  readonly healthAddress?: string;
  /** HOST:PORT that the worker sends its reports to. */
  readonly reportAddress?: string;
  /** HOST:PORT of the store. */
  readonly storeAddress: string;
  /** Calls a second that the store executes for all processes. */
  readonly storeRates: {
    readonly writesPerSecond: number;
    readonly readsPerSecond: number;
  };
  /** Number of processors that the machine gives its processes. */
  readonly processors: number;
  /** Bandwidth of the machine's link in megabits per second. */
  readonly linkMegabits: number;
  /** Maximum lease that a worker grants. */
  readonly maximumLeaseMillis: number;
  /** Time for which the state of an ended workflow is kept. */
  readonly keptMillis: number;
  /** Number of descriptors that the process may open. */
  readonly descriptors: number;
  readonly listenerLimits: ListenerLimitSettings;
  /** Optional parts of the scheduler that this deployment turns on. */
  readonly features: SchedulingFeatures;
}

const MILLIS_PER_SECOND = 1_000;

/** @throws PlatformSettingsError that names the invalid fields. */
export function readPlatformSettings(): FleetProcessSettings {
  const file = process.env[SETTINGS_VARIABLE];
  if (file === undefined) {
    throw new PlatformSettingsError(`${SETTINGS_VARIABLE} is not set.`);
  }
  return parsePlatformSettings(readFileSync(file, 'utf8'));
}

/**
 * Parses the settings, which the deploy file's template renders as JSON.
 *
 * @throws PlatformSettingsError that names the invalid fields.
 */
export function parsePlatformSettings(text: string): FleetProcessSettings {
  const parsed = safeParse(settingsSchema, parseJsonOrUndefined(text));
  if (!parsed.success) {
    const {nested} = flatten(parsed.issues);
    throw new PlatformSettingsError(
      nested
        ? `Platform settings with missing or invalid values: ${Object.keys(nested).join(', ')}.`
        : 'The platform settings are not a JSON object.',
    );
  }
  const {
    platform: settings,
    scheduling: features,
    limits: listenerLimits,
  } = parsed.output;
  const {Bounds: bounds, platform, Listen: listen, Limits: limits} = settings;
  return {
    processName: settings.NodeName,
    ip: settings.Ip,
    failureDomain: settings.Zone,
    workerService: settings.Service,
    workerHosts: [
      ...new Set([settings.Ip, hostOf(settings.app ?? settings.Ip)]),
    ],
    processPort: settings.PortRange[0],
    seedHosts: settings.Seeds.map(hostOf),
    callerAddress: listen.Front,
    healthAddress: listen.Ready,
    reportAddress: listen.Control,
    storeAddress: platform.Address,
    storeRates: {
      writesPerSecond: platform.WritesPerS,
      readsPerSecond: platform.ReadsPerS,
    },
    processors: limits.CpuShare * limits.Cores,
    linkMegabits: limits.LinkMbps,
    maximumLeaseMillis: bounds.HoldMaxMs,
    keptMillis: bounds.status_s * MILLIS_PER_SECOND,
    descriptors: limits.MaxFds,
    listenerLimits,
    features,
  };
}
