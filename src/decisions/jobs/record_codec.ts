import type {Resources} from '../../utilities/resources.js';
import {AttemptOutcome, LogRecordType} from '../job_types.js';
import type {AttemptName, JobSpecification, LogRecord} from '../job_types.js';
import {NameTable} from './name_table.js';

/**
 * Records of one append as rows of values, with each name stored once. The log
 * is written at every start and end of a task, so its size determines the load
 * on the store and on the entries' network.
 */
export interface EncodedRecords {
  readonly names: readonly string[];
  readonly rows: readonly RecordRow[];
}

/** Index in `TYPES`, wall time, then the values specific to the type. */
type RecordRow = ReadonlyArray<
  number | string | Resources | JobSpecification | null
>;

const TYPES = [
  LogRecordType.TAKEN_OVER,
  LogRecordType.SUBMITTED,
  LogRecordType.PLACED,
  LogRecordType.CLOSED,
  LogRecordType.CANCELLED,
  LogRecordType.CONFIRMED,
  LogRecordType.REMOVED,
] as const;

const OUTCOMES = [
  AttemptOutcome.FINISHED,
  AttemptOutcome.FAILED,
  AttemptOutcome.EVICTED,
  AttemptOutcome.CANCELLED,
  AttemptOutcome.REFUSED,
  AttemptOutcome.LOST,
] as const;

export function encodeRecords(records: readonly LogRecord[]): EncodedRecords {
  const table = new NameTable();
  const rows = records.map(record => {
    const type = TYPES.indexOf(record.type);
    const wallTime = Math.round(record.wallTime);
    return [type, wallTime, ...valuesOf(record, table)];
  });
  return {names: table.names, rows};
}

/** Throws a TypeError if the type of a row is unknown. */
export function decodeRecords({names, rows}: EncodedRecords): LogRecord[] {
  return rows.map(row => decodeRow(row, names));
}

function valuesOf(record: LogRecord, table: NameTable): RecordRow {
  switch (record.type) {
    case LogRecordType.TAKEN_OVER:
      return [record.entryId, record.epoch];
    case LogRecordType.SUBMITTED:
      return [record.specification];
    case LogRecordType.PLACED:
      return [
        ...attemptValues(record.name, table),
        table.indexOf(record.vm),
        table.indexOf(record.incarnation),
        table.indexOf(record.reason),
        ...(record.size ? [record.size] : []),
      ];
    case LogRecordType.CLOSED:
      return withoutTrailingEmpty([
        ...attemptValues(record.name, table),
        OUTCOMES.indexOf(record.outcome),
        table.indexOf(record.reason),
        record.resultCode,
        record.checkpoint,
        record.result,
      ]);
    case LogRecordType.CANCELLED:
      return [...jobValues(record, table), table.indexOf(record.reason)];
    case LogRecordType.CONFIRMED:
      return [...jobValues(record, table), record.by];
    case LogRecordType.REMOVED:
      return jobValues(record, table);
  }
}

function attemptValues(name: AttemptName, table: NameTable): number[] {
  return [...jobValues(name, table), name.task, name.attempt];
}

function jobValues(
  {team, job}: {team: string; job: string},
  table: NameTable,
): number[] {
  return [table.indexOf(team), table.indexOf(job)];
}

/** Returns the values without empty strings at the end. */
function withoutTrailingEmpty(values: RecordRow): RecordRow {
  let length = values.length;
  while (values[length - 1] === '') length--;
  return values.slice(0, length);
}

function decodeRow(row: RecordRow, names: readonly string[]): LogRecord {
  const [typeIndex, wall, ...values] = row;
  const type = TYPES[typeIndex as number];
  const wallTime = wall as number;
  const nameAt = (position: number) => names[values[position] as number];
  const text = (position: number) => (values[position] ?? '') as string;
  const number = (position: number) => values[position] as number;
  const [team, job] = [nameAt(0), nameAt(1)];
  const name = {team, job, task: number(2), attempt: number(3)};
  switch (type) {
    case LogRecordType.TAKEN_OVER:
      return {type, entryId: text(0), epoch: number(1), wallTime};
    case LogRecordType.SUBMITTED: {
      const specification = values[0] as JobSpecification;
      return {type, specification, wallTime};
    }
    case LogRecordType.PLACED: {
      const size = values[7] as Resources | undefined;
      const [vm, incarnation, reason] = [nameAt(4), nameAt(5), nameAt(6)];
      const placed = {type, name, vm, incarnation, reason, wallTime};
      return size ? {...placed, size} : placed;
    }
    case LogRecordType.CLOSED:
      return {
        type,
        name,
        outcome: OUTCOMES[number(4)],
        reason: nameAt(5),
        resultCode: number(6),
        checkpoint: text(7),
        result: text(8),
        wallTime,
      };
    case LogRecordType.CANCELLED:
      return {type, team, job, reason: nameAt(2), wallTime};
    case LogRecordType.CONFIRMED:
      return {type, team, job, by: text(2), wallTime};
    case LogRecordType.REMOVED:
      return {type, team, job, wallTime};
    default:
      throw new TypeError(`Unknown record type ${String(typeIndex)}.`);
  }
}
