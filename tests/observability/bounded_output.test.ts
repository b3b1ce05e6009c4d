import test from 'ava';
import {BoundedOutput} from '../../src/observability/bounded_output.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';

const LINE = `${'x'.repeat(99)}\n`;

test('should write buffered lines together', t => {
  const clock = new VirtualClock();
  const written: string[] = [];
  const output = new BoundedOutput({
    clock,
    write: (text, onWritten) => {
      written.push(text);
      onWritten(null);
    },
  });
  output.write('one\n');
  output.write('two\n');
  clock.runUntil(1_000);
  t.deepEqual(written, ['one\ntwo\n']);
});

test('should drop lines without blocking when the reader stalls', t => {
  const clock = new VirtualClock();
  let reader: (() => void) | undefined;
  let droppedLines = 0;
  const output = new BoundedOutput({
    clock,
    write: (_text, onWritten) => {
      reader = () => onWritten(null);
    },
    onDropped: lines => {
      droppedLines += lines;
    },
  });
  let taken = 0;
  for (let second = 0; second < 20; second++) {
    for (let line = 0; line < 1_000; line++)
      taken += Number(output.write(LINE));
    clock.runUntil(clock.now() + 1_000);
  }
  t.true(taken < 20_000);
  t.true(taken * LINE.length <= 1024 * 1024);
  reader?.();
  t.is(droppedLines, 20_000 - taken);
});

test('should limit the lines per second', t => {
  const clock = new VirtualClock();
  const output = new BoundedOutput({clock, write: (_text, done) => done(null)});
  let taken = 0;
  for (let line = 0; line < 5_000; line++) taken += Number(output.write('x\n'));
  t.is(taken, 2_000);
  clock.runUntil(1_000);
  t.true(output.write('x\n'));
});
