import test from 'ava';
import {RefusedReports} from '../../src/agent/workflows/refused_reports.js';
import {Events} from '../../src/observability/events.js';
import {Metrics} from '../../src/observability/metrics.js';
import {WorkerReportReader} from '../../src/platform/worker_reports.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {RecordingLogger} from '../workflows/fixtures/recording_logger.js';

const ID = 'i-7f3a91c2';
const SERVICE = 'huvo11a';
const HOST = '10.128.0.9';
const REPORT = {
  Service: SERVICE,
  Address: `${HOST}:8080`,
  Zone: 'sfax-port',
  State: 'ready',
  FreeCapacity: {Cpu: 16_000, MemMb: 32_768, Gpu: 0},
  Labels: ['a', 'r1-3'],
  Sequence: 4,
  born: 1_700_000_000_000,
};

function createReader(options: {service?: string} = {service: SERVICE}): {
  reader: WorkerReportReader;
  clock: VirtualClock;
  logger: RecordingLogger;
  metrics: Metrics;
} {
  const clock = new VirtualClock();
  const logger = new RecordingLogger();
  const metrics = new Metrics();
  const refusedReports = new RefusedReports({clock, logger, metrics});
  const reader = new WorkerReportReader({
    service: () => options.service,
    hosts: [HOST],
    onRefused: (id, reason) => refusedReports.record(id, reason),
  });
  return {reader, clock, logger, metrics};
}

// Guards against a report of another writer that replaces the real worker.
test('should refuse a report that names another service', t => {
  const {reader, logger, metrics} = createReader();
  const foreign = JSON.stringify({...REPORT, Service: 'another'});
  t.is(reader.read(ID, foreign), undefined);
  t.is(reader.read(ID, JSON.stringify(REPORT))?.service, SERVICE);
  t.is(logger.fieldsOf(Events.REPORT_UNREADABLE).length, 1);
  t.regex(metrics.render(), /worker_reports_refused_total 1\b/);
});

// A worker calls another agent while its own one is away; that agent must not
// take it for its own.
test('should refuse a report of a worker on another machine', t => {
  const {reader, metrics} = createReader();
  const foreign = JSON.stringify({...REPORT, Address: '10.128.0.10:8080'});
  t.is(reader.read(ID, foreign), undefined);
  t.is(reader.read(ID, JSON.stringify(REPORT))?.id, ID);
  t.regex(metrics.render(), /worker_reports_refused_total 1\b/);
});

test('should accept any service while the settings name none', t => {
  const {reader} = createReader({});
  const report = JSON.stringify({...REPORT, Service: 'another'});
  t.is(reader.read(ID, report)?.service, 'another');
});

test('should count all refused reports but log few of them', t => {
  const {reader, clock, logger, metrics} = createReader();
  for (let reports = 0; reports < 100; reports++) {
    reader.read('x'.repeat(10_000), `${reports}`);
    clock.runUntil(clock.now() + 100);
  }
  const lines = logger.fieldsOf(Events.REPORT_UNREADABLE);
  t.is(lines.length, 1);
  t.true(JSON.stringify(lines).length < 1_000);
  t.regex(metrics.render(), /worker_reports_refused_total 100\b/);
});

// Guards against one odd report that stops the agent: calls to an address that
// is none, messages that can't be encoded, and names that the owner rejects.
const NESTING = 500_000;
const DEEPLY_NESTED = '['.repeat(NESTING) + ']'.repeat(NESTING);
const LONG_NAME = 'x'.repeat(500);
const ODD_REPORTS: ReadonlyArray<[name: string, text: string, id?: string]> = [
  ['a deeply nested field', textWith('Labels', DEEPLY_NESTED)],
  ['nothing but nesting', DEEPLY_NESTED],
  ['a port out of range', textWith('Address', '"10.128.0.9:99999"')],
  ['port 0', textWith('Address', '"10.128.0.9:0"')],
  ['an address without a port', textWith('Address', '"10.128.0.9"')],
  ['an empty address', textWith('Address', '""')],
  ['an address with a path', textWith('Address', '"10.128.0.9:80/a"')],
  ['an infinite sequence', textWith('Sequence', '1e999')],
  ['a sequence too large', textWith('Sequence', '1e300')],
  ['a negative sequence', textWith('Sequence', '-1')],
  ['a start time too large', textWith('born', '1e300')],
  ['a start time with a fraction', textWith('born', '0.5')],
  ['a remaining time too large', textWith('RemainingMs', '1e12')],
  ['capacity too large', textWith('FreeCapacity', '{"Cpu":1e300,"MemMb":1}')],
  ['negative capacity', textWith('FreeCapacity', '{"Cpu":-1,"MemMb":1}')],
  ['a failure domain too long', textWith('Zone', `"${LONG_NAME}"`)],
  ['a label too long', textWith('Labels', `["${LONG_NAME}"]`)],
  [
    'too many labels',
    textWith('Labels', JSON.stringify(Array(5_000).fill('a'))),
  ],
  ['an id too long', JSON.stringify(REPORT), LONG_NAME],
  ['an id with control characters', JSON.stringify(REPORT), 'i\n1'],
];
for (const [name, text, id = ID] of ODD_REPORTS) {
  test(`should refuse a report with ${name}`, t => {
    const {reader, logger} = createReader();
    t.is(reader.read(id, text), undefined);
    t.is(reader.read(ID, JSON.stringify(REPORT))?.id, ID);
    const lines = logger.fieldsOf(Events.REPORT_UNREADABLE);
    t.is(lines.length, 1);
    t.true(JSON.stringify(lines).length < 1_000);
  });
}

test('should round capacity with a fraction down', t => {
  const {reader} = createReader();
  const text = textWith('FreeCapacity', '{"Cpu":1500.5,"MemMb":64.9}');
  const room = reader.read(ID, text)?.room;
  t.deepEqual(room, {
    milliprocessors: 1_500,
    memoryMegabytes: 64,
    accelerators: 0,
  });
});

/** Returns a report in which the field has the value, which is JSON. */
function textWith(field: string, value: string): string {
  const others = Object.entries(REPORT).filter(([key]) => key !== field);
  const text = JSON.stringify(Object.fromEntries(others));
  return text.replace(/\}$/, `,"${field}":${value}}`);
}
