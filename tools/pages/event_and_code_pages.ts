import {Events} from '../../src/observability/events.js';
import {ResultCodes} from '../../src/observability/result_codes.js';
import {GENERATED_PAGE_COMMENT, joinBlocks, markdownTable} from './markdown.js';

/** Generates the pages of events and result codes. */

interface Range {
  readonly title: string;
  readonly first: number;
  /** Exclusive. */
  readonly end: number;
}

const EVENT_RANGES: readonly Range[] = [
  {title: 'Any process', first: 1000, end: 2000},
  {title: 'Entries', first: 2000, end: 3000},
  {title: 'Shards and jobs', first: 3000, end: 4000},
  {title: 'Agents', first: 4000, end: 5000},
  {title: 'The store', first: 5000, end: 6000},
  {title: 'Workflows and their workers', first: 6000, end: 7000},
];

const CODE_RANGES: readonly Range[] = [
  {title: 'The request itself', first: 100, end: 200},
  {title: 'Service requests', first: 200, end: 300},
  {title: 'Jobs and attempts', first: 300, end: 400},
  {title: 'Settings', first: 400, end: 500},
  {title: 'The system', first: 500, end: 600},
];

export function eventsPage(): string {
  const blocks = [
    GENERATED_PAGE_COMMENT,
    '# Events',
    'The events that processes log; the number of an event never changes. A log line has the time, the level, the number, the name, the id of the process and the fields of the event; it is JSON unless standard output is a terminal (`[logs] format`). [OPERATING.md](OPERATING.md) describes how to handle warnings and errors.',
  ];
  const events = Object.entries(Events);
  for (const range of EVENT_RANGES) {
    const rows = events
      .filter(([, type]) => isWithin(type.number, range))
      .map(([name, type]) => [type.number, name, type.level, type.meaning]);
    const headings = ['number', 'name', 'level', 'meaning'];
    blocks.push(`## ${range.title}`, markdownTable(headings, rows));
  }
  return joinBlocks(blocks);
}

export function resultCodesPage(): string {
  const blocks = [
    GENERATED_PAGE_COMMENT,
    '# Result codes',
    'Every response of an entry with a status outside 2xx has the number in the header `x-result-code` and, with name and message, in its JSON body. Agents reject starts with the same numbers. "Not run" and "not done" are guarantees: the request had no effect and never will.',
  ];
  for (const range of CODE_RANGES) {
    const rows = Object.values(ResultCodes)
      .filter(code => isWithin(code.number, range))
      .map(code => [code.number, code.name, code.httpStatus, code.meaning]);
    const headings = ['number', 'name', 'HTTP status', 'meaning'];
    blocks.push(`## ${range.title}`, markdownTable(headings, rows));
  }
  return joinBlocks(blocks);
}

function isWithin(number: number, range: Range): boolean {
  return number >= range.first && number < range.end;
}
