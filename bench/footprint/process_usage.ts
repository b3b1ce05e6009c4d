import {readFileSync} from 'node:fs';

const TICKS_A_SECOND = 100;
const KILOBYTES_A_MEGABYTE = 1_024;
/** Fields of /proc/PID/stat after the name, which may hold blanks. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

export interface ProcessUsage {
  readonly processorSeconds: number;
  readonly residentMegabytes: number;
}

/** What the kernel counts of a process; resolution is a hundredth second. */
export function readProcessUsage(processId: number): ProcessUsage {
  const stat = readFileSync(`/proc/${processId}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  const status = readFileSync(`/proc/${processId}/status`, 'utf8');
  const resident = /^VmRSS:\s+(\d+) kB/m.exec(status);
  return {
    processorSeconds: ticks / TICKS_A_SECOND,
    residentMegabytes: Number(resident?.[1] ?? 0) / KILOBYTES_A_MEGABYTE,
  };
}
