import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import type {FleetSize} from './fleet_size.js';

const MICROS_PER_MILLI = 1000;
const HIGHEST_MICROS = 600_000_000;
const SIGNIFICANT_DIGITS = 3;

/** How a request ended for its caller. */
export type CallerOutcome = 'answered' | 'failed' | 'notRun' | 'unknown';

/** Collects how the requests of one variant ended. */
export class ServiceRecorder {
  private readonly answers = newHistogram();
  private readonly waits = newHistogram();
  private readonly refusals = newHistogram();
  private readonly counts = {answered: 0, failed: 0, notRun: 0, unknown: 0};
  private extra = 0;

  constructor(private readonly size: FleetSize) {}

  /** The time since arrival at the entry, in milliseconds. */
  ended(outcome: CallerOutcome, sinceArrivalMillis: number): void {
    this.counts[outcome]++;
    const micros = Math.round(sinceArrivalMillis * MICROS_PER_MILLI);
    if (outcome === 'answered') this.answers.recordValue(micros);
    if (outcome === 'notRun') this.refusals.recordValue(micros);
  }

  /**
   * Time of an answered request beyond its usual holding time and the way to
   * an executor in the same failure domain.
   */
  waited(waitMillis: number): void {
    const micros = Math.round(Math.max(0, waitMillis) * MICROS_PER_MILLI);
    this.waits.recordValue(micros);
  }

  /** A request was sent to one more agent. */
  repeated(): void {
    this.extra++;
  }

  /** Latencies in milliseconds at the entry, without the caller's way. */
  figures(durationMillis: number): Record<string, number> {
    const {answered, failed, notRun, unknown} = this.counts;
    const total = Math.max(1, answered + failed + notRun + unknown);
    return {
      p50: millisAt(this.answers, 50),
      p99: millisAt(this.answers, 99),
      'p99.9': millisAt(this.answers, 99.9),
      'caller p99': millisAt(this.answers, 99) + 2 * this.size.callerMillis,
      'wait p99': millisAt(this.waits, 99),
      'answered/s': (answered / durationMillis) * 1000,
      'not run %': (100 * notRun) / total,
      'unknown %': (100 * unknown) / total,
      'failed %': (100 * failed) / total,
      'refused p99': millisAt(this.refusals, 99),
      'refused max': this.refusals.maxValue / MICROS_PER_MILLI,
      'extra %': (100 * this.extra) / total,
    };
  }
}

function newHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MICROS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

function millisAt(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
}
