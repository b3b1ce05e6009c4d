import test from 'ava';
import {ConsoleLogger} from '../../src/observability/console_logger.js';
import {Events} from '../../src/observability/events.js';
import {Metrics} from '../../src/observability/metrics.js';

class TextOutput {
  text = '';

  constructor(readonly isTTY = false) {}

  write(text: string): void {
    this.text += text;
  }
}

test('should write one JSON line per event when not on a terminal', t => {
  const output = new TextOutput();
  const logger = new ConsoleLogger({
    processId: 'vm-1',
    output,
    wallTime: () => 0,
  });
  const fields = {address: 'http://127.0.0.1:1', process: 'not this one'};
  logger.event(Events.WORKER_LOST, fields);
  t.true(output.text.startsWith('{"time":"1970'));
  t.deepEqual(JSON.parse(output.text), {
    time: '1970-01-01T00:00:00.000Z',
    level: 'error',
    event: 4010,
    name: 'WORKER_LOST',
    process: 'vm-1',
    address: 'http://127.0.0.1:1',
  });
});

test('should write text on a terminal', t => {
  const output = new TextOutput(true);
  const options = {processId: 'vm-1', output, wallTime: () => 0};
  new ConsoleLogger(options).event(Events.STORE_BACK, {downMillis: 70});
  t.is(
    output.text,
    '1970-01-01T00:00:00.000Z info  5001 STORE_BACK vm-1 downMillis=70\n',
  );
});

test('should count events below the level and write every repetition above it', t => {
  const metrics = new Metrics();
  const output = new TextOutput();
  const logger = new ConsoleLogger({
    processId: 'a',
    output,
    level: 'warn',
    metrics,
  });
  for (let index = 0; index < 20; index++)
    logger.event(Events.STORE_UNREACHABLE);
  logger.event(Events.STORE_BACK);
  t.is(output.text.trim().split('\n').length, 20);
  t.is(logger.countsByNumber().get(5000), 20);
  t.is(logger.countsByNumber().get(5001), 1);
  t.regex(metrics.render(), /events_total{event="STORE_BACK".*} 1/);
});
