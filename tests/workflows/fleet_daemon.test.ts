import {spawn} from 'node:child_process';
import type {ChildProcessWithoutNullStreams} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';

const DAEMON = 'build/src/daemon/burdockmoor_fleet.js';
const LINE_DEADLINE_MILLIS = 20_000;
const HOST = '127.0.0.1';

/** Returns ports that are free at the time of the call. */
async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({length: count}, () => createServer());
  const ports: number[] = [];
  for (const server of servers) {
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
    ports.push((server.address() as {port: number}).port);
  }
  for (const server of servers) server.close();
  return ports;
}

/** The settings of an agent, as the deploy file's template renders them. */
function settingsOf([processPort, reportPort, storePort]: number[]): object {
  const platform = {
    NodeName: 'side-1',
    Ip: HOST,
    Zone: 'zone-1',
    PortRange: [processPort, processPort + 1],
    Seeds: [],
    Listen: {Control: `${HOST}:${reportPort}`},
    Bounds: {
      HoldMaxMs: 6_000,
      DrainMs: 2_000,
      GraceS: 6,
      cancel_ms: 3_000,
      early_ms: 250,
      status_s: 120,
      RemoteFactor: 1.5,
      RestoreMs: 100,
      GraceStopMs: 200,
      HarmMs: 4_000,
      GangWaitMs: 3_000,
    },
    platform: {
      Address: `${HOST}:${storePort}`,
      WritesPerS: 400,
      ReadsPerS: 2_000,
      TtlMinMs: 1_000,
    },
  };
  return {scheduling: {}, platform};
}

/** Waits for a log line with the event, on standard output. */
function waitForEvent(
  child: ChildProcessWithoutNullStreams,
  name: string,
): Promise<void> {
  return new Promise((resolve, reject) => {
    let text = '';
    const deadline = setTimeout(
      () => reject(new Error(`no ${name} in: ${text}`)),
      LINE_DEADLINE_MILLIS,
    );
    child.stdout.on('data', (chunk: Buffer) => {
      text += chunk.toString('utf8');
      if (!text.includes(`"name":"${name}"`)) return;
      clearTimeout(deadline);
      resolve();
    });
  });
}

function waitForExit(
  child: ChildProcessWithoutNullStreams,
): Promise<number | null> {
  return new Promise(resolve => child.on('exit', code => resolve(code)));
}

test('should continue after SIGHUP and exit with code 0 after SIGTERM', async t => {
  const file = join(mkdtempSync(join(tmpdir(), 'fleet-')), 'settings.json');
  writeFileSync(file, JSON.stringify(settingsOf(await findFreePorts(3))));
  const env = {...process.env, BURDOCKMOOR_CONFIG: file};
  const child = spawn(process.execPath, [DAEMON, 'agent'], {env});
  t.teardown(() => child.kill('SIGKILL'));
  await waitForEvent(child, 'PROCESS_STARTED');
  const reloaded = waitForEvent(child, 'SETTINGS_RELOADED');
  child.kill('SIGHUP');
  await reloaded;
  const ended = waitForExit(child);
  child.kill('SIGTERM');
  t.is(await ended, 0);
});

test('should name the invalid field of unusable settings', async t => {
  const file = join(mkdtempSync(join(tmpdir(), 'fleet-')), 'settings.json');
  writeFileSync(file, JSON.stringify({platform: {NodeName: 'side-1', Ip: 5}}));
  const env = {...process.env, BURDOCKMOOR_CONFIG: file};
  const child = spawn(process.execPath, [DAEMON, 'agent'], {env});
  let text = '';
  child.stderr.on('data', (chunk: Buffer) => {
    text += chunk.toString('utf8');
  });
  t.is(await waitForExit(child), 2);
  t.regex(text, /Ip/);
});

/** Sends a report to an agent; resolves to the status of the response. */
async function sendReport(
  port: number,
  id: string,
  body: string,
): Promise<number> {
  const url = `http://${HOST}:${port}/-/instances/${id}`;
  const response = await fetch(url, {method: 'PUT', body});
  await response.arrayBuffer();
  return response.status;
}

// Guards against one odd report that makes the process fail or stop responding.
test('should go on after odd worker reports', async t => {
  const file = join(mkdtempSync(join(tmpdir(), 'fleet-')), 'settings.json');
  const ports = await findFreePorts(3);
  writeFileSync(file, JSON.stringify(settingsOf(ports)));
  const env = {...process.env, BURDOCKMOOR_CONFIG: file};
  const child = spawn(process.execPath, [DAEMON, 'agent'], {env});
  t.teardown(() => child.kill('SIGKILL'));
  let text = '';
  child.stdout.on('data', (chunk: Buffer) => {
    text += chunk.toString('utf8');
  });
  await waitForEvent(child, 'PROCESS_STARTED');
  const report = {
    Service: 'service',
    Address: '127.0.0.1:99999',
    Zone: 'zone-1',
    State: 'ready',
    Sequence: 1,
    born: 1,
    FreeCapacity: {Cpu: 1_000, MemMb: 100},
  };
  const refused = waitForEvent(child, 'REPORT_UNREADABLE');
  t.is(await sendReport(ports[1], 'i-1', JSON.stringify(report)), 400);
  await refused;
  t.is(await sendReport(ports[1], '%zz', JSON.stringify(report)), 400);
  const nested = '['.repeat(1_000_000);
  t.is(await sendReport(ports[1], 'i-1', nested), 400);
  const ended = waitForExit(child);
  child.kill('SIGTERM');
  t.is(await ended, 0);
  // The port of the metrics is fixed, so that another test may have it.
  const faults = text
    .split('\n')
    .filter(line => line.includes('UNEXPECTED_FAULT'))
    .filter(line => !line.includes('Metrics are not served'));
  t.deepEqual(faults, []);
});
