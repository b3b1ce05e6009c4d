import test from 'ava';
import {LeaseValidity} from '../../src/entry/workflows/lease_validity.js';
import type {Clock} from '../../src/utilities/clock.js';
import {readClocks} from '../../src/utilities/clock_readings.js';

const TTL_MILLIS = 2_000;

/** A steady clock and a calendar clock that can be set independently. */
class TwoClocks {
  steady = 1_000;
  calendar = 1_700_000_000_000;

  readonly clock: Clock = {
    now: () => this.steady,
    wallTime: () => this.calendar,
    schedule: () => ({cancel: () => {}}),
  };

  advance(millis: number): void {
    this.steady += millis;
    this.calendar += millis;
  }
}

function createRenewedLease(): {clocks: TwoClocks; validity: LeaseValidity} {
  const clocks = new TwoClocks();
  const validity = new LeaseValidity(clocks.clock, TTL_MILLIS);
  validity.recordRenewal(readClocks(clocks.clock));
  return {clocks, validity};
}

test('should not report a lease as valid after the process was frozen past its end', t => {
  const {clocks, validity} = createRenewedLease();
  clocks.advance(1_000);
  t.true(validity.isValid);
  clocks.advance(5_000);
  t.false(validity.isValid);
});

test('should not report a lease as valid after the machine was suspended past its end', t => {
  const {clocks, validity} = createRenewedLease();
  // The steady clock does not advance during a suspension.
  clocks.calendar += 5_000;
  t.false(validity.isValid);
});

test('should count a renewal from the time it was sent', t => {
  const {clocks, validity} = createRenewedLease();
  const sent = readClocks(clocks.clock);
  clocks.advance(1_500);
  validity.recordRenewal(sent);
  clocks.advance(400);
  t.false(validity.isValid);
});

test('should not extend a lease when the calendar clock jumps back', t => {
  const {clocks, validity} = createRenewedLease();
  clocks.calendar -= 60_000;
  clocks.advance(1_900);
  t.false(validity.isValid);
});
