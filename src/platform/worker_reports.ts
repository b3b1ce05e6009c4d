import {
  array,
  is,
  literal,
  maxLength,
  object,
  optional,
  pipe,
  safeParse,
  union,
} from 'valibot';
import {UNKNOWN_START} from '../backends/leased_worker.js';
import type {WorkerReport} from '../backends/leased_worker.js';
import {parseJsonOrUndefined} from './json_parsing.js';
import {
  addressSchema,
  amountSchema,
  countSchema,
  hostOf,
  nameSchema,
  textSchema,
  timestampSchema,
} from './wire_values.js';

const MAXIMUM_LABELS = 100;

const capacitySchema = object({
  /** Total thousandths of a core of the worker, not only the free ones. */
  Cpu: amountSchema,
  MemMb: amountSchema,
  Gpu: optional(amountSchema, 0),
});

const reportSchema = object({
  Service: nameSchema,
  Address: addressSchema,
  Zone: textSchema,
  State: union([literal('ready'), literal('draining')]),
  Sequence: countSchema,
  /** Wall-clock time at which this incarnation of the worker started. */
  born: optional(timestampSchema, UNKNOWN_START),
  FreeCapacity: capacitySchema,
  /** The kind of machine, followed by its rack. */
  Labels: optional(pipe(array(textSchema), maxLength(MAXIMUM_LABELS)), []),
  RemainingMs: optional(amountSchema, 0),
});

export interface WorkerReportReaderOptions {
  /** Returns the service of the worker on this machine, if it is known. */
  readonly service: () => string | undefined;
  /** Hosts of the worker on this machine. */
  readonly hosts: readonly string[];
  /** Called with the id and the reason for each report that is refused. */
  readonly onRefused: (id: string, reason: string) => void;
}

/** Reads the reports that reach an agent, and refuses those of other writers. */
export class WorkerReportReader {
  constructor(private readonly options: WorkerReportReaderOptions) {}

  /** Returns undefined for a report that is refused. */
  read(id: string, text: string): WorkerReport | undefined {
    const {onRefused, hosts} = this.options;
    const report = decodeWorkerReport(id, text);
    if (!report) return void onRefused(id, 'it cannot be decoded');
    const service = this.options.service();
    if (service !== undefined && report.service !== service)
      return void onRefused(id, 'it names another service');
    if (hosts.includes(hostOf(report.address))) return report;
    return void onRefused(id, 'its worker is on another machine');
  }
}

/** Returns undefined if the report or the id is invalid. */
export function decodeWorkerReport(
  id: string,
  text: string,
): WorkerReport | undefined {
  const parsed = safeParse(reportSchema, parseJsonOrUndefined(text));
  if (!parsed.success || !is(nameSchema, id)) return undefined;
  const {output: report} = parsed;
  const labels = report.Labels;
  return {
    id,
    incarnation: `${id}@${report.born}`,
    startedAt: report.born,
    sequence: report.Sequence,
    service: report.Service,
    address: report.Address,
    failureDomain: report.Zone,
    draining: report.State === 'draining',
    remainingMillis: report.RemainingMs,
    rack: labels[1] ?? '',
    labels,
    room: {
      milliprocessors: report.FreeCapacity.Cpu,
      memoryMegabytes: report.FreeCapacity.MemMb,
      accelerators: report.FreeCapacity.Gpu,
    },
  };
}
