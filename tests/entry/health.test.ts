import test from 'ava';
import {ResultCodes} from '../../src/observability/result_codes.js';
import {jobStatus, startEntry} from '../fuzz/entry_fixture.js';

const REASON = 'the test ends';

test('should fail its health check while it drains, and still handle calls', async t => {
  const entry = await startEntry();
  const health = () =>
    entry.call({
      method: 'GET',
      target: '/v1/health',
      segments: ['v1', 'health'],
      query: new URLSearchParams(),
      headers: new Map(),
      body: Buffer.alloc(0),
    });
  t.is((await health()).status, 200);
  entry.drain();
  const {status, body} = await health();
  t.is(status, 503);
  const {code} = JSON.parse(body.toString()) as {code: number};
  t.is(code, ResultCodes.ENTRY_STOPPING.number);
  t.is(await jobStatus(entry, 'POST', 'builds'), 201);
  await entry.stop(REASON);
  entry.dispose(REASON);
});
