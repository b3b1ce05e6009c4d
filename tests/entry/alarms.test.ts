import test from 'ava';
import {logRecordEvents} from '../../src/entry/alarms/record_events.js';
import {EjectionAlarms} from '../../src/entry/alarms/ejection_alarms.js';
import {QuarantineAlarms} from '../../src/entry/alarms/quarantine_alarms.js';
import {SettingsAlarms} from '../../src/entry/alarms/settings_alarms.js';
import {UpstreamAlarms} from '../../src/entry/alarms/upstream_alarms.js';
import {AgentDirectory} from '../../src/entry/agents/agent_directory.js';
import {eventName} from '../../src/observability/console_logger.js';
import type {EventType} from '../../src/observability/events.js';
import type {LogFields, Logger} from '../../src/observability/logger.js';
import {
  ExecutorReport,
  HeartbeatRequest,
} from '../../src/protocol/generated/burdockmoor.js';
import type {AgentLink, LinkFactory} from '../../src/protocol/links.js';
import {DEFAULT_FLEET_SETTINGS} from '../../src/settings/settings_branches.js';

class RecordingLogger implements Logger {
  private lines: string[] = [];

  event(type: EventType, fields: LogFields = {}): void {
    const values = Object.values(fields).join(' ');
    this.lines.push(`${eventName(type.number)} ${values}`);
  }

  takeLines(): string[] {
    const lines = this.lines;
    this.lines = [];
    return lines;
  }
}

const links = {
  openAgent: () => ({close: () => {}}) as unknown as AgentLink,
} as unknown as LinkFactory;

const EMPTY_MESSAGE = new Uint8Array();
const SILENT_MILLIS = 20_000;

test('should log once when an upstream joins, falls silent and returns', t => {
  const agents = new AgentDirectory(links);
  const logger = new RecordingLogger();
  const alarms = new UpstreamAlarms(agents, logger);
  let sequence = 0;
  const receiveHeartbeat = (
    now: number,
    change: Partial<HeartbeatRequest> = {},
  ): void => {
    sequence++;
    const executor = {
      ...ExecutorReport.decode(EMPTY_MESSAGE),
      service: 'rounds',
    };
    const heartbeat = {
      ...HeartbeatRequest.decode(EMPTY_MESSAGE),
      agentId: 'vm-1',
      incarnation: 'a',
      failureDomain: 'tema',
      sequence,
      executors: [executor],
      ...change,
    };
    agents.applyHeartbeat(heartbeat, now);
    alarms.check(now);
  };
  receiveHeartbeat(0);
  receiveHeartbeat(1000);
  t.deepEqual(logger.takeLines(), ['UPSTREAM_JOINED vm-1 tema']);
  alarms.check(SILENT_MILLIS);
  alarms.check(SILENT_MILLIS);
  t.deepEqual(logger.takeLines(), [
    'UPSTREAM_LOST vm-1 tema',
    'SERVICE_WITHOUT_UPSTREAM rounds',
  ]);
  receiveHeartbeat(SILENT_MILLIS);
  t.deepEqual(logger.takeLines(), [
    'UPSTREAM_RETURNED vm-1 tema',
    'SERVICE_SERVED_AGAIN rounds',
  ]);
  receiveHeartbeat(SILENT_MILLIS, {stopping: true});
  alarms.check(2 * SILENT_MILLIS);
  t.deepEqual(logger.takeLines(), [
    'UPSTREAM_DRAINING vm-1 tema',
    'SERVICE_WITHOUT_UPSTREAM rounds',
  ]);
});

test('should log a process whose settings lag past the target, and its catching up', t => {
  const logger = new RecordingLogger();
  const alarms = new SettingsAlarms(logger);
  const check = (revision: number, expected: number, now: number): string[] => {
    const status = {processId: 'vm-1', role: 'agent', ageMillis: 0};
    alarms.check([{...status, settingsRevision: revision}], expected, now);
    return logger.takeLines();
  };
  t.deepEqual(check(5, 6, 0), []);
  t.deepEqual(check(5, 9, 14_000), []);
  t.deepEqual(check(5, 9, 15_000), ['PROCESS_SETTINGS_LAG vm-1 agent 5']);
  t.deepEqual(check(5, 9, 16_000), []);
  t.deepEqual(check(6, 9, 17_000), ['PROCESS_SETTINGS_CAUGHT_UP vm-1 agent 6']);
  t.deepEqual(check(8, 9, 18_000), []);
  t.deepEqual(check(9, 30, 33_000), []);
});

test('should log failure domains and VMs that operators take out and bring back', t => {
  const logger = new RecordingLogger();
  const alarms = new SettingsAlarms(logger);
  alarms.applyFleetSettings({
    ...DEFAULT_FLEET_SETTINGS,
    failureDomainsOut: new Set(['tema']),
    drainedVms: new Set(['vm-1']),
  });
  t.deepEqual(logger.takeLines(), [
    'FAILURE_DOMAIN_OUT tema',
    'VM_DRAINED vm-1',
  ]);
  alarms.applyFleetSettings(DEFAULT_FLEET_SETTINGS);
  t.deepEqual(logger.takeLines(), [
    'FAILURE_DOMAIN_IN tema',
    'VM_UNDRAINED vm-1',
  ]);
});

test('should distinguish a lost attempt from one whose task is held', t => {
  const logger = new RecordingLogger();
  const name = {team: 'a', job: 'routes', task: 0, attempt: 2};
  const closed = {checkpoint: '', result: '', resultCode: 0, wallTime: 0};
  const reason = 'lease lapsed';
  const record = {type: 'closed', name, outcome: 'lost', reason} as const;
  const log = (phase: string): string[] => {
    const phases = {job: () => ({tasks: [{phase}]})};
    logRecordEvents([{...record, ...closed}], phases, logger);
    return logger.takeLines();
  };
  t.deepEqual(log('waiting'), ['TASK_LOST a/routes/0/2 lease lapsed']);
  t.deepEqual(log('held'), ['TASK_HELD a/routes/0/2 lease lapsed']);
});

test('should log a VM that a shard quarantines, and its release', t => {
  const logger = new RecordingLogger();
  const alarms = new QuarantineAlarms(logger);
  const check = (...vms: string[]): string[] => {
    alarms.check([{shard: 3, scheduler: {quarantinedVms: () => vms}}], 0);
    return logger.takeLines();
  };
  t.deepEqual(check('vm-1'), ['VM_QUARANTINED vm-1 3']);
  t.deepEqual(check('vm-1'), []);
  t.deepEqual(check(), ['VM_RELEASED vm-1 3']);
});

test('should log an upstream that is ejected, and its readmission', t => {
  const logger = new RecordingLogger();
  let ejected: string[] = [];
  const router = {ejected: () => new Map([['rounds', ejected]])};
  const alarms = new EjectionAlarms(router, logger);
  const check = (...vms: string[]): string[] => {
    ejected = vms;
    alarms.check(0);
    return logger.takeLines();
  };
  t.deepEqual(check('vm-1', 'vm-2'), [
    'UPSTREAM_EJECTED rounds vm-1',
    'UPSTREAM_EJECTED rounds vm-2',
  ]);
  t.deepEqual(check('vm-2'), ['UPSTREAM_READMITTED rounds vm-1']);
});
