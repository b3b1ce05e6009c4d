import {
  array,
  boolean,
  number,
  object,
  optional,
  safeParse,
  string,
} from 'valibot';
import type {FleetConfiguration} from '../decisions/workflows/workflow_types.js';
import {parseJsonOrUndefined} from './json_parsing.js';

/** Prefix of all keys that operators write. */
export const OPERATOR_PREFIX = 'op/';
export const CONFIGURATION_KEY = 'op/config';
export const EVACUATION_PREFIX = 'op/evacuate/';

const DEFAULT_BODY_BYTES = 1_048_576;
const DEFAULT_HEADER_BYTES = 16_384;
const DEFAULT_TIMEOUT_MILLIS = 3_000;

const configurationSchema = object({
  Version: number(),
  Routes: array(
    object({
      Name: string(),
      Host: string(),
      Prefix: string(),
      Service: string(),
      Priority: optional(number(), 0),
      MaxAttempts: optional(number(), 1),
      Stretch: optional(number(), 1),
      TargetLatencyMs: optional(number(), 0),
      TimeoutMs: optional(number(), DEFAULT_TIMEOUT_MILLIS),
      Hint: optional(
        object({DecideMs: number(), PerItemMs: number(), ValidMs: number()}),
      ),
    }),
  ),
  Services: array(
    object({
      Name: string(),
      RejectsOverload: optional(boolean(), false),
      Standby: optional(boolean(), false),
    }),
  ),
  Limits: optional(
    object({
      MaxHeaderBytes: optional(number(), DEFAULT_HEADER_BYTES),
      MaxBodyBytes: optional(number(), DEFAULT_BODY_BYTES),
    }),
    {},
  ),
});

/** Returns undefined if the text is not a valid configuration. */
export function decodeConfiguration(
  text: string,
): FleetConfiguration | undefined {
  const parsed = safeParse(configurationSchema, parseJsonOrUndefined(text));
  if (!parsed.success) return undefined;
  const {output: document} = parsed;
  return {
    version: document.Version,
    queues: document.Routes.map(route => ({
      name: route.Name,
      host: route.Host,
      prefix: route.Prefix,
      service: route.Service,
      priority: route.Priority,
      maximumFailures: route.MaxAttempts,
      stretch: route.Stretch,
      latencyTargetMillis: route.TargetLatencyMs,
      timeoutMillis: route.TimeoutMs,
      advice: route.Hint && {
        decideMillis: route.Hint.DecideMs,
        perItemMillis: route.Hint.PerItemMs,
        validMillis: route.Hint.ValidMs,
      },
    })),
    services: document.Services.map(service => ({
      name: service.Name,
      refusesOverload: service.RejectsOverload,
      standby: service.Standby,
    })),
    maximumBodyBytes: document.Limits.MaxBodyBytes ?? DEFAULT_BODY_BYTES,
    maximumHeaderBytes: document.Limits.MaxHeaderBytes ?? DEFAULT_HEADER_BYTES,
  };
}

/** Returns the failure domain that the key evacuates; undefined for others. */
export function evacuatedDomainOf(key: string): string | undefined {
  if (!key.startsWith(EVACUATION_PREFIX)) return undefined;
  return key.slice(EVACUATION_PREFIX.length);
}
