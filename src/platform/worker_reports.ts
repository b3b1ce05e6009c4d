import {
  array,
  literal,
  number,
  object,
  optional,
  safeParse,
  string,
  union,
} from 'valibot';
import type {WorkerReport} from '../backends/leased_worker.js';
import {parseReceived} from './received_json.js';

const roomSchema = object({
  /** Thousandths of a core of the whole worker, not what is left of them. */
  Cpu: number(),
  MemMb: number(),
  Gpu: optional(number(), 0),
});

const reportSchema = object({
  Service: string(),
  Address: string(),
  Zone: string(),
  State: union([literal('ready'), literal('draining')]),
  Sequence: number(),
  /** Calendar time at which this life of the worker began. */
  born: optional(number(), 0),
  FreeCapacity: roomSchema,
  /** The kind of the machine, then its rack. */
  Labels: optional(array(string()), []),
  RemainingMs: optional(number(), 0),
});

/** Undefined when the report names no worker to use. */
export function decodeWorkerReport(
  id: string,
  text: string,
): WorkerReport | undefined {
  const parsed = safeParse(reportSchema, parseReceived(text));
  if (!parsed.success || id === '') return undefined;
  const {output: from} = parsed;
  const labels = from.Labels;
  return {
    id,
    incarnation: `${id}@${from.born}`,
    bornAt: from.born,
    sequence: from.Sequence,
    service: from.Service,
    address: from.Address,
    failureDomain: from.Zone,
    draining: from.State === 'draining',
    remainingMillis: from.RemainingMs,
    rack: labels[1] ?? '',
    labels,
    room: {
      milliprocessors: from.FreeCapacity.Cpu,
      memoryMegabytes: from.FreeCapacity.MemMb,
      accelerators: from.FreeCapacity.Gpu,
    },
  };
}
