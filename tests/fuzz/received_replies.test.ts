import test from 'ava';
import {ResultCodes} from '../../src/observability/result_codes.js';
import {
  ExecutorReport,
  HeartbeatRequest,
} from '../../src/protocol/generated/burdockmoor.js';
import {SettingsView} from '../../src/settings/settings_view.js';
import {NO_RESOURCES} from '../../src/utilities/resources.js';
import {AgentFixture, TASK_SIZE} from '../agent/fixtures/agent_fixture.js';
import {until} from '../stand_ins/until.js';
import {DrawnLinks} from './drawn_links.js';
import {jobStatus, startEntry} from './entry_fixture.js';

const NUMBERS: ReadonlySet<number> = new Set(
  Object.values(ResultCodes).map(code => code.number),
);
const NONE = new Uint8Array();
const SIZE = {milliprocessors: 9_000, memoryMegabytes: 9_000, accelerators: 0};

function heartbeat(vm: number, sequence: number): HeartbeatRequest {
  const executor = {
    ...ExecutorReport.decode(NONE),
    service: 'rounds',
    slots: 8,
  };
  return {
    ...HeartbeatRequest.decode(NONE),
    ...{agentId: `vm-${vm}`, incarnation: 'run-1', failureDomain: 'tema'},
    ...{address: `127.0.0.1:${vm}`, capacity: SIZE, committed: NO_RESOURCES},
    ...{sequence, used: NO_RESOURCES},
    ...{executors: [{...executor, team: 'depot', serviceMillis: 5}]},
  };
}

test('should outlive any reply of agents, and pass on only own answers', async t => {
  const links = new DrawnLinks(41);
  const entry = await startEntry(links);
  t.teardown(() => entry.dispose('the test ends'));
  t.is(await jobStatus(entry, 'POST', 'kept'), 201);
  await entry.heartbeat(heartbeat(1, 1));
  await until(() => links.calls.has('startAttempts'));
  let answered = 0;
  for (let round = 2; round <= 300; round++) {
    for (const vm of [1, 2, 3]) await entry.heartbeat(heartbeat(vm, round));
    const requestId = `request-${round}`;
    const answer = await entry.call({
      ...{method: 'GET', target: '/v1/services/rounds/x', body: Buffer.of()},
      segments: ['v1', 'services', 'rounds', 'x'],
      query: new URLSearchParams(),
      headers: new Map([
        ['x-request-id', requestId],
        ['x-deadline-milliseconds', '100'],
      ]),
    });
    const headers = new Map(answer.headers);
    if (headers.get('x-outcome') === 'answered') {
      answered++;
      t.deepEqual(Buffer.from(answer.body), links.own.get(requestId));
    } else {
      t.true(NUMBERS.has(Number(headers.get('x-result-code'))), requestId);
    }
  }
  t.true(answered > 10, `${answered} answered`);
  t.is(await jobStatus(entry, 'GET', 'kept'), 200);
  t.is(await jobStatus(entry, 'POST', 'later'), 201);
  await entry.stop('the test ends');
});

test('should outlive any reply of entries, and go on beating', async t => {
  const links = new DrawnLinks(42);
  const settings = new SettingsView();
  const fixture = await AgentFixture.createStarted(() => ({links, settings}));
  for (let task = 0; task < 50; task++) {
    await fixture.advance(10_000);
    await fixture.startTask(task, {size: {...TASK_SIZE, milliprocessors: 1}});
  }
  const beats = links.calls.get('heartbeat') ?? 0;
  t.true(beats > 100, `${beats} heartbeats`);
  const reply = await fixture.agent.dumpState();
  t.notThrows(() => JSON.parse(reply.json));
  fixture.agent.kill();
});
