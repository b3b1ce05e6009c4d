import test from 'ava';
import {RefusedReports} from '../../src/agent/workflows/refused_reports.js';
import {Events} from '../../src/observability/events.js';
import {Metrics} from '../../src/observability/metrics.js';
import {WorkerReportReader} from '../../src/platform/worker_reports.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {RecordingLogger} from '../workflows/fixtures/recording_logger.js';

const ID = 'i-7f3a91c2';
const SERVICE = 'huvo11a';
const REPORT = {
  Service: SERVICE,
  Address: '10.128.0.9:8080',
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
