import {readFileSync} from 'node:fs';
import {
  array,
  boolean,
  fallback,
  flatten,
  number,
  object,
  optional,
  safeParse,
  string,
} from 'valibot';
import {BaseError} from '../utilities/base_error.js';

/** Names the variable that holds the path of the settings file. */
const SETTINGS_VARIABLE = 'BURDOCKMOOR_CONFIG';

/** The settings that the platform hands to a process can't be used. */
export const PlatformSettingsError = BaseError.subclass(
  'PlatformSettingsError',
);

const settingsSchema = object({
  NodeName: string(),
  Ip: string(),
  Zone: string(),
  PortRange: array(number()),
  Seeds: fallback(array(string()), []),
  app: optional(string()),
  Hint: optional(string()),
  Listen: object({
    Front: optional(string()),
    Ready: optional(string()),
    Control: optional(string()),
  }),
  Bounds: object({
    HoldMaxMs: number(),
    DrainMs: number(),
    GraceS: number(),
    cancel_ms: number(),
    early_ms: number(),
    status_s: number(),
    RemoteFactor: number(),
    RestoreMs: number(),
    GraceStopMs: number(),
    HarmMs: number(),
    GangWaitMs: number(),
    RequireFence: fallback(boolean(), false),
  }),
  platform: object({
    Address: string(),
    WritesPerS: number(),
    ReadsPerS: number(),
    TtlMinMs: number(),
  }),
});

/** What a process of the fleet learns from the platform at its start. */
export interface FleetProcessSettings {
  readonly processName: string;
  readonly ip: string;
  readonly failureDomain: string;
  /** First port that is free for calls between processes. */
  readonly processPort: number;
  /** Of the processes that may be asked first; they may be gone. */
  readonly seedHosts: readonly string[];
  /** HOST:PORT for callers. */
  readonly callerAddress?: string;
  /** HOST:PORT for the balancer's health check. */
  readonly healthAddress?: string;
  /** HOST:PORT at which the worker reports. */
  readonly reportAddress?: string;
  /** HOST:PORT of the worker beside an agent. */
  readonly workerAddress?: string;
  /** HOST:PORT of the service that allows workers for a step. */
  readonly adviceAddress?: string;
  readonly store: {
    readonly address: string;
    readonly writesPerSecond: number;
    readonly readsPerSecond: number;
    readonly minimumTtlMillis: number;
  };
  /** The longest lease that a worker grants. */
  readonly maximumLeaseMillis: number;
  /** How long a worker goes on after it was told that its end is known. */
  readonly drainMillis: number;
  /** From the signal to stop to the kill. */
  readonly stopGraceMillis: number;
  /** How long the state of an ended workflow is kept. */
  readonly keptMillis: number;
  /** How much longer a task works away from its data. */
  readonly remoteFactor: number;
  readonly restoreMillis: number;
  /** How long a serving task may miss its target because of others. */
  readonly harmMillis: number;
}

const MILLIS_PER_SECOND = 1_000;

/** @throws PlatformSettingsError that names the fields at fault. */
export function readPlatformSettings(): FleetProcessSettings {
  const file = process.env[SETTINGS_VARIABLE];
  if (file === undefined) {
    throw new PlatformSettingsError(`${SETTINGS_VARIABLE} is not set.`);
  }
  return parsePlatformSettings(readFileSync(file, 'utf8'));
}

/**
 * The deploy file's template renders the platform's settings as JSON.
 *
 * @throws PlatformSettingsError that names the fields at fault.
 */
export function parsePlatformSettings(text: string): FleetProcessSettings {
  const parsed = safeParse(settingsSchema, parseJson(text));
  if (!parsed.success) {
    const fields = Object.keys(flatten(parsed.issues).nested ?? {}).join(', ');
    throw new PlatformSettingsError(
      `The platform's settings lack good values for ${fields}.`,
    );
  }
  const {output: from} = parsed;
  const {Bounds: bounds, platform, Listen: listen} = from;
  return {
    processName: from.NodeName,
    ip: from.Ip,
    failureDomain: from.Zone,
    processPort: from.PortRange[0],
    seedHosts: from.Seeds.map(seed => seed.replace(/:\d+$/, '')),
    callerAddress: listen.Front,
    healthAddress: listen.Ready,
    reportAddress: listen.Control,
    workerAddress: from.app,
    adviceAddress: from.Hint,
    store: {
      address: platform.Address,
      writesPerSecond: platform.WritesPerS,
      readsPerSecond: platform.ReadsPerS,
      minimumTtlMillis: platform.TtlMinMs,
    },
    maximumLeaseMillis: bounds.HoldMaxMs,
    drainMillis: bounds.DrainMs,
    stopGraceMillis: bounds.GraceS * MILLIS_PER_SECOND,
    keptMillis: bounds.status_s * MILLIS_PER_SECOND,
    remoteFactor: bounds.RemoteFactor,
    restoreMillis: bounds.RestoreMs,
    harmMillis: bounds.HarmMs,
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new PlatformSettingsError('The platform settings are not JSON.', {
      cause: error,
    });
  }
}
