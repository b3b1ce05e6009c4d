import test from 'ava';
import {
  DEFAULT_FLEET_SETTINGS,
  parseFleetSettings,
  parseTeamSettings,
  withFailureDomainOut,
  withVmDrain,
} from '../../src/settings/settings_branches.js';
import {formatFault} from '../../src/settings/settings_fault.js';

test('should parse the branch of the operators and convert units', t => {
  const text = [
    '; the night of the flood',
    '[failure_domain kaneshie]',
    'out = true # until dawn',
    '[failure_domain tema]',
    'out = false',
    '[vm vm-3.accra]',
    'drain = true',
    '[leases]',
    'task_lease_seconds = 20',
    '[requests]',
    'retry_budget_percent = 5',
  ].join('\n');
  t.deepEqual(parseFleetSettings(text), {
    settings: {
      ...DEFAULT_FLEET_SETTINGS,
      failureDomainsOut: new Set(['kaneshie']),
      drainedVms: new Set(['vm-3.accra']),
      taskLeaseMillis: 20_000,
      retryBudgetShare: 0.05,
    },
  });
});

test('should parse the branch of a team and convert units', t => {
  const text = [
    '[quota]',
    'processors = 12.5',
    '[jobs]',
    'default_urgency = urgent',
    '[service rounds]',
    'idempotent_methods = GET, PUT',
  ].join('\r\n');
  const settings = parseTeamSettings('asantewaa', text).settings!;
  t.is(settings.quota.milliprocessors, 12_500);
  t.is(settings.defaultUrgency, 'urgent');
  const service = settings.services.get('rounds')!;
  t.is(service.team, 'asantewaa');
  t.is(service.defaultDeadlineMillis, 2000);
  t.deepEqual([...service.idempotentMethods], ['GET', 'PUT']);
});

test('should report all errors at once, each with its location', t => {
  const text = [
    'early = 1',
    '[leases]',
    'task_lease_second = 20',
    'task_lease_seconds = 2',
    'task_lease_seconds = 9',
    '[requests',
    '[vms vm-1]',
    '[vm]',
    '[failure_domain tema]',
    'out = yes',
    'nothing',
    '[leases]',
    '__proto__ = 1',
  ].join('\n');
  const faults = parseFleetSettings(text).faults!;
  t.deepEqual(faults.map(formatFault), [
    'settings/fleet:1 early: The key is outside of any section.',
    'settings/fleet:3 [leases] task_lease_second: Unknown key; the nearest known one is task_lease_seconds. Accepted: task_lease_seconds.',
    'settings/fleet:4 [leases] task_lease_seconds: Invalid value: "2". Accepted: a whole number from 3 to 30.',
    'settings/fleet:5 [leases] task_lease_seconds: The key is already set at line 4.',
    'settings/fleet:6 [leases]: The section header has no closing bracket.',
    'settings/fleet:7 [vms vm-1]: Unknown section; the nearest known one is vm. Accepted: [failure_domain NAME], [vm NAME], [leases], [settings], [heartbeats], [requests].',
    'settings/fleet:8 [vm]: The header must have the form [vm NAME]. Accepted: for NAME: 1 to 63 letters, digits, dots, hyphens or underscores; the first a letter or digit.',
    'settings/fleet:10 [failure_domain tema] out: Invalid value: "yes". Accepted: true, false.',
    'settings/fleet:11 [failure_domain tema]: The line is not of the form key = value.',
    'settings/fleet:12 [leases]: The section is already defined at line 2.',
    'settings/fleet:13 [leases] __proto__: This key name is not allowed.',
  ]);
});

test('should reject branch names that are not team names', t => {
  t.is(parseTeamSettings('fleet', '').faults?.length, 1);
  t.is(parseTeamSettings('a/b', '').faults?.length, 1);
});

test('should change one key and keep the other lines unchanged', t => {
  const text =
    '; by hand\n[failure_domain  tema]\n  out=true ; flood\n\n[vm a]\n; drain = true\n';
  t.is(
    withFailureDomainOut(text, 'tema', false),
    '; by hand\n[failure_domain  tema]\n  out=false ; flood\n\n[vm a]\n; drain = true\n',
  );
  t.is(
    withVmDrain(text, 'a', true),
    '; by hand\n[failure_domain  tema]\n  out=true ; flood\n\n[vm a]\ndrain = true\n; drain = true\n',
  );
  t.is(withVmDrain(text, 'b', false), text);
  const added = withVmDrain(text, 'b', true);
  t.is(added, `${text}\n[vm b]\ndrain = true\n`);
  t.deepEqual(parseFleetSettings(added).settings?.drainedVms, new Set(['b']));
});
