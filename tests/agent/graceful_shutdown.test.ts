import test from 'ava';
import {AgentFixture} from './fixtures/agent_fixture.js';

test('should stay until the entry has heard that it stops', async t => {
  const fixture = new AgentFixture();
  await fixture.begin();
  fixture.entry.replyDelayMillis = 300;
  let stopped = false;
  void fixture.agent.stop('planned').then(() => (stopped = true));
  await fixture.pass(200);
  t.true(fixture.entry.heartbeats.at(-1)!.stopping);
  t.false(stopped);
  await fixture.pass(200);
  t.true(stopped);
});

test('should not wait for ever for an entry that is silent', async t => {
  const fixture = new AgentFixture();
  await fixture.begin();
  fixture.entry.silent = true;
  let stopped = false;
  void fixture.agent.stop('planned').then(() => (stopped = true));
  await fixture.pass(2_000);
  t.true(stopped);
});
