import test from 'ava';
import {Metrics} from '../../src/observability/metrics.js';

test('should render counters, gauges and latencies as text', t => {
  const metrics = new Metrics();
  metrics.counter('starts_total', 'Starts.', {team: 'a"b'}).increment(3);
  metrics.counter('starts_total', 'Starts.', {team: 'a"b'}).increment();
  metrics.gauge('free_slots', 'Free slots.').set(5);
  metrics.observe('queue', 'Queue length.', () => 2);
  const latency = metrics.latency('answer_seconds', 'Answers.');
  for (let millis = 1; millis <= 100; millis++) latency.record(millis);
  const lines = metrics.render().split('\n');
  t.true(lines.includes('burdockmoor_starts_total{team="a\\"b"} 4'));
  t.true(lines.includes('burdockmoor_free_slots 5'));
  t.true(lines.includes('burdockmoor_queue 2'));
  t.true(lines.includes('# TYPE burdockmoor_answer_seconds summary'));
  t.true(lines.includes('burdockmoor_answer_seconds_count 100'));
  t.true(lines.includes('burdockmoor_answer_seconds_sum 5.05'));
  const p99 = latency.quantile(0.99);
  t.true(p99 >= 99 && p99 <= 100);
});

test('should ignore invalid durations and clamp long ones', t => {
  const latency = new Metrics().latency('a', 'A.');
  for (const millis of [NaN, -1, Infinity]) latency.record(millis);
  t.is(latency.count, 0);
  t.is(latency.quantile(0.99), 0);
  latency.record(1e12);
  t.is(latency.count, 1);
});

test('should reject a name that is used for two metric types', t => {
  const metrics = new Metrics();
  metrics.counter('a', 'A.');
  t.throws(() => metrics.gauge('a', 'A.'), {instanceOf: TypeError});
});
