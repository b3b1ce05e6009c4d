import test from 'ava';
import {
  formatAddress,
  parseAddress,
} from '../../src/settings/network_address.js';
import {
  parseAgentSettings,
  parseEntrySettings,
  readEntrySettings,
} from '../../src/settings/process_settings.js';
import {SettingsError} from '../../src/settings/settings_fault.js';

const ENTRY_TEXT = `
[process]
id = entry-1
failure_domain = kaneshie
region = accra
[listen]
callers = 127.0.0.1:7000
processes = [::1]:7070
[store]
endpoints = http://127.0.0.1:2379, http://127.0.0.1:2380
`;

const AGENT_TEXT = `
[process]
id = vm-1
failure_domain = tema
region = accra
rack = rack-2
[listen]
processes = 127.0.0.1:7001
[entries]
addresses = 127.0.0.1:7070
[worker]
address = http://127.0.0.1:9100
`;

test('should parse entry settings and fill in defaults', t => {
  const settings = parseEntrySettings('entry.ini', ENTRY_TEXT);
  t.deepEqual(settings.listen.processes, {host: '::1', port: 7070});
  t.is(settings.store.endpoints.length, 2);
  t.is(settings.store.writesPerSecond, 200);
  t.is(settings.shards.count, 12);
  t.is(settings.advertise.callers, undefined);
  t.is(settings.tls, undefined);
  t.is(settings.logs.format, 'auto');
});

test('should parse agent settings with and without an executor', t => {
  t.is(parseAgentSettings('agent.ini', AGENT_TEXT).executor, undefined);
  const executor = `[executor]
address = http://127.0.0.1:9200
service = rounds
team = asantewaa
reserved_milliprocessors = 1500
`;
  const settings = parseAgentSettings('agent.ini', AGENT_TEXT + executor);
  t.is(settings.executor?.slots, 8);
  t.is(settings.executor?.reserved.milliprocessors, 1500);
});

test('should report all missing and invalid keys at once', t => {
  const text =
    '[process]\nid = -\n[store]\nendpoints = https://127.0.0.1:2379\n';
  const error = t.throws(() => parseEntrySettings('entry.ini', text), {
    instanceOf: SettingsError,
  });
  const places = error.faults.map(fault => `${fault.section} ${fault.key}`);
  t.deepEqual(places.sort(), [
    'listen callers',
    'listen processes',
    'process failure_domain',
    'process id',
    'process region',
    'store endpoints',
  ]);
  t.is(error.resultCode.number, 400);
  t.regex(
    error.message,
    /entry\.ini:4 \[store\] endpoints: .*http:\/\/HOST:PORT/,
  );
});

test('should require all TLS paths and check that they are readable', t => {
  const text = `${ENTRY_TEXT}[tls]\ncertificate = /nowhere/entry.crt\n`;
  const error = t.throws(() => parseEntrySettings('entry.ini', text), {
    instanceOf: SettingsError,
  });
  const keys = error.faults.map(fault => fault.key);
  t.deepEqual(keys, ['certificate', 'key', 'authority']);
});

test('should reject addresses that other processes cannot reach', t => {
  const texts = [
    ENTRY_TEXT.replace('127.0.0.1:7000', '0.0.0.0:7000'),
    ENTRY_TEXT.replace('127.0.0.1:7000', '127.0.0.1:0'),
    ENTRY_TEXT.replace('127.0.0.1:7000', '127.0.0.1:65536'),
  ];
  for (const text of texts) {
    const error = t.throws(() => parseEntrySettings('entry.ini', text), {
      instanceOf: SettingsError,
    });
    t.deepEqual(
      error.faults.map(fault => fault.key),
      ['callers'],
    );
  }
  const advertised = `${texts[0]}[advertise]\ncallers = 10.0.0.1:7000\n`;
  t.notThrows(() => parseEntrySettings('entry.ini', advertised));
});

test('should report a missing file as an error in the settings', t => {
  const error = t.throws(() => readEntrySettings('/nowhere/entry.ini'), {
    instanceOf: SettingsError,
  });
  t.is(error.faults.length, 1);
});

test('should parse and format addresses', t => {
  for (const address of ['10.0.0.1:80', '[::1]:7070']) {
    t.is(formatAddress(parseAddress(address)), address);
  }
});
