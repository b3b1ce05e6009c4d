import test from 'ava';
import {
  decodeConfiguration,
  evacuatedDomainOf,
} from '../../src/platform/operator_documents.js';
import {
  parsePlatformSettings,
  PlatformSettingsError,
} from '../../src/platform/platform_settings.js';
import {NO_SCHEDULING_FEATURES} from '../../src/decisions/workflows/scheduling_features.js';
import {
  decodeSubmission,
  isWorkflowId,
} from '../../src/platform/submissions.js';
import {decodeWorkerReport} from '../../src/platform/worker_reports.js';

const REPORT = {
  Service: 'huvo11a',
  Address: '10.128.0.9:8080',
  Zone: 'sfax-port',
  Version: 'v1',
  Capacity: 8,
  State: 'ready',
  ColdLeftMs: 0,
  FreeCapacity: {Cpu: 16_000, MemMb: 32_768, Gpu: 0},
  Labels: ['a', 'r1-3'],
  ClockMs: 482_113,
  Sequence: 4,
  born: 1_700_000_000_000,
};

test('should decode a worker report', t => {
  const report = decodeWorkerReport('i-1', JSON.stringify(REPORT));
  t.is(report?.incarnation, 'i-1@1700000000000');
  t.is(report?.rack, 'r1-3');
  t.false(report?.draining);
  t.is(report?.room.milliprocessors, 16_000);
});

const INVALID_REPORTS: Array<[name: string, text: string]> = [
  ['a field is missing', JSON.stringify({...REPORT, Address: undefined})],
  ['a field has another type', JSON.stringify({...REPORT, Sequence: 'four'})],
  ['the state is unknown', JSON.stringify({...REPORT, State: 'asleep'})],
  [
    'the capacity is not an object',
    JSON.stringify({...REPORT, FreeCapacity: 3}),
  ],
  ['it is not JSON', '\u0000\u0001{'],
  ['it is a list', '[]'],
];
for (const [name, text] of INVALID_REPORTS) {
  test(`should reject a worker report when ${name}`, t => {
    t.is(decodeWorkerReport('i-1', text), undefined);
  });
}

test('should decode a configuration and apply defaults', t => {
  const configuration = decodeConfiguration(
    JSON.stringify({
      Version: 7,
      Routes: [
        {
          Name: 'r-1',
          Host: 'nony24.example',
          Prefix: '/lohu930/',
          Type: 'unsafe',
          TimeoutMs: 3_000,
          TargetLatencyMs: 250,
          Priority: 0,
          Service: 'huvo11a',
          MaxAttempts: 4,
          Stretch: 1.5,
        },
      ],
      Services: [{Name: 'huvo11a', NewField: 1}],
    }),
  );
  t.is(configuration?.version, 7);
  t.is(configuration?.queues[0].maximumFailures, 4);
  t.false(configuration?.services[0].refusesOverload);
});

test('should reject an invalid configuration', t => {
  t.is(decodeConfiguration('{"Version":'), undefined);
  t.is(decodeConfiguration('{"Version":"7"}'), undefined);
});

test('should recognize the keys of evacuations', t => {
  t.is(evacuatedDomainOf('op/evacuate/tema'), 'tema');
  t.is(evacuatedDomainOf('op/wave/1'), undefined);
});

test('should decode the steps of a submission and apply defaults', t => {
  const submission = decodeSubmission(
    JSON.stringify({
      Spec: 'text',
      Steps: [
        {Count: 4, Cpu: 500},
        {Count: 2, After: [0], Checkpoints: true},
      ],
    }),
  );
  t.is(submission?.steps[0].size.milliprocessors, 500);
  t.deepEqual(submission?.steps[1].after, [0]);
  t.true(submission?.steps[1].checkpoints);
  t.is(submission?.schedule, undefined);
});

const BAD_SUBMISSIONS: Array<[name: string, value: unknown]> = [
  ['it has no steps', {Spec: '', Steps: []}],
  ['a step comes after itself', {Steps: [{Count: 1, After: [0]}]}],
  ['a count is negative', {Steps: [{Count: -1}]}],
  ['a target is negative', {Steps: [{Count: 1, TargetMs: -1}]}],
  ['the payload is too long', {Spec: 'x'.repeat(4_001), Steps: [{Count: 1}]}],
];
for (const [name, value] of BAD_SUBMISSIONS) {
  test(`should reject a submission when ${name}`, t => {
    t.is(decodeSubmission(JSON.stringify(value)), undefined);
  });
}

test('should reject a submission when a target is too large for a number', t => {
  t.is(decodeSubmission('{"Steps":[{"Count":1,"TargetMs":1e999}]}'), undefined);
});

test('should keep the fraction of a target', t => {
  const text = JSON.stringify({Steps: [{Count: 1, TargetMs: 62.5}]});
  t.is(decodeSubmission(text)?.steps[0].tailTargetMillis, 62.5);
});

test('should recognize workflow ids', t => {
  t.true(isWorkflowId('5c0e7a21d94b36f8'));
  t.false(isWorkflowId('5c0e7a21d94b36f'));
  t.false(isWorkflowId('5c0e7a21d94b36fg'));
});

test('should name invalid settings', t => {
  const error = t.throws(
    () => parsePlatformSettings('{"platform":{"NodeName":"n"}}'),
    {
      instanceOf: PlatformSettingsError,
    },
  );
  t.regex(error.message, /Ip/);
});

const PLATFORM_SETTINGS = {
  NodeName: 'front-1',
  Ip: '10.1.0.13',
  Zone: 'sfax-port',
  PortRange: [7_720, 7_735],
  Listen: {},
  Bounds: {HoldMaxMs: 6_000, status_s: 120},
  platform: {Address: '10.200.1.7:8169'},
};

test('should turn on only the scheduling features that settings name', t => {
  const text = JSON.stringify({
    scheduling: {copies: true},
    platform: PLATFORM_SETTINGS,
  });
  const {features} = parsePlatformSettings(text);
  t.deepEqual(features, {...NO_SCHEDULING_FEATURES, copies: true});
});

test('should name the hosts of the worker beside the process', t => {
  const workerHostsOf = (change: object): readonly string[] =>
    parsePlatformSettings(
      JSON.stringify({platform: {...PLATFORM_SETTINGS, ...change}}),
    ).workerHosts;
  t.deepEqual(workerHostsOf({}), ['10.1.0.13']);
  t.deepEqual(workerHostsOf({app: '10.1.0.13:8165'}), ['10.1.0.13']);
  t.deepEqual(workerHostsOf({app: '10.9.0.1:8165'}), ['10.1.0.13', '10.9.0.1']);
  t.deepEqual(workerHostsOf({app: 7}), ['10.1.0.13']);
});

test('should name an unknown scheduling feature', t => {
  const text = JSON.stringify({
    scheduling: {copys: true},
    platform: PLATFORM_SETTINGS,
  });
  const error = t.throws(() => parsePlatformSettings(text), {
    instanceOf: PlatformSettingsError,
  });
  t.regex(error.message, /scheduling\.copys/);
});

test('should read limits of listeners, and name invalid ones', t => {
  const limitsOf = (limits?: object) =>
    parsePlatformSettings(JSON.stringify({limits, platform: PLATFORM_SETTINGS}))
      .listenerLimits;
  t.deepEqual(limitsOf(), {});
  t.deepEqual(limitsOf({callBytes: 9}), {callBytes: 9});
  for (const value of [0, 1.5, '8']) {
    const error = t.throws(() => limitsOf({callerConnections: value}));
    t.regex(error.message, /limits\.callerConnections/);
  }
  t.throws(() => limitsOf({connections: 8}), {message: /limits/});
});
