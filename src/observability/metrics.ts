import histogramModule from 'hdr-histogram-js/dist/Int32Histogram.js';

/** Counters, gauges and latency histograms, in the text exposition format. */

// The package is CommonJS and keeps its class under `default`.
const Int32Histogram = histogramModule.default;

export type MetricLabels = Readonly<Record<string, string>>;

const MICROS_PER_MILLI = 1000;
const MILLIS_PER_SECOND = 1000;
const LONGEST_LATENCY_MICROS = 600_000_000;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = [0.5, 0.9, 0.99, 0.999];
/** Before every name, so that it is unique where metrics are gathered. */
const PREFIX = 'burdockmoor_';
const METRIC_NAME = /^[a-z][a-z0-9_]*$/;

/** A number that only grows. */
export class Counter {
  private total = 0;

  get value(): number {
    return this.total;
  }

  increment(by = 1): void {
    this.total += by;
  }
}

/** A number that goes up and down. */
export class Gauge {
  private current = 0;

  get value(): number {
    return this.current;
  }

  set(value: number): void {
    this.current = value;
  }
}

/** Durations, kept as a histogram with two significant digits. */
export class LatencyHistogram {
  private readonly histogram = new Int32Histogram(
    1,
    LONGEST_LATENCY_MICROS,
    SIGNIFICANT_DIGITS,
  );
  private sumMillis = 0;

  get count(): number {
    return this.histogram.totalCount;
  }

  get totalMillis(): number {
    return this.sumMillis;
  }

  /** Longer durations than ten minutes count as ten minutes. */
  record(millis: number): void {
    if (!Number.isFinite(millis) || millis < 0) return;
    this.sumMillis += millis;
    const micros = Math.round(millis * MICROS_PER_MILLI);
    this.histogram.recordValue(Math.min(micros, LONGEST_LATENCY_MICROS));
  }

  /** The duration in milliseconds that the share of all stays under. */
  quantile(share: number): number {
    if (this.count === 0) return 0;
    return this.histogram.getValueAtPercentile(share * 100) / MICROS_PER_MILLI;
  }
}

type Instrument = Counter | Gauge | LatencyHistogram;

interface Family {
  readonly type: 'counter' | 'gauge' | 'summary';
  readonly help: string;
  /** By labels as they are written. */
  readonly instruments: Map<string, Instrument>;
  /** Read when the metrics are rendered. */
  readonly sources: Map<string, () => number>;
}

/** The metrics of one process. Asking again for a name and labels gives the same one. */
export class Metrics {
  private readonly families = new Map<string, Family>();

  counter(name: string, help: string, labels: MetricLabels = {}): Counter {
    const family = this.family(name, 'counter', help);
    return instrumentOf(family, labels, () => new Counter());
  }

  gauge(name: string, help: string, labels: MetricLabels = {}): Gauge {
    const family = this.family(name, 'gauge', help);
    return instrumentOf(family, labels, () => new Gauge());
  }

  /** A gauge whose value is asked for only when the metrics are rendered. */
  observe(
    name: string,
    help: string,
    source: () => number,
    labels: MetricLabels = {},
  ): void {
    const family = this.family(name, 'gauge', help);
    family.sources.set(labelText(labels), source);
  }

  /** Durations recorded in milliseconds and rendered in seconds. */
  latency(
    name: string,
    help: string,
    labels: MetricLabels = {},
  ): LatencyHistogram {
    const family = this.family(name, 'summary', help);
    return instrumentOf(family, labels, () => new LatencyHistogram());
  }

  render(): string {
    const lines: string[] = [];
    for (const name of [...this.families.keys()].sort()) {
      lines.push(...renderFamily(PREFIX + name, this.families.get(name)!));
    }
    return lines.map(line => `${line}\n`).join('');
  }

  private family(name: string, type: Family['type'], help: string): Family {
    if (!METRIC_NAME.test(name)) throw new TypeError(`Metric name ${name}`);
    const known = this.families.get(name);
    if (known && known.type !== type) {
      throw new TypeError(`Metric ${name} is a ${known.type}, not a ${type}`);
    }
    if (known) return known;
    const family: Family = {
      type,
      help,
      instruments: new Map(),
      sources: new Map(),
    };
    this.families.set(name, family);
    return family;
  }
}

function instrumentOf<Kind extends Instrument>(
  family: Family,
  labels: MetricLabels,
  create: () => Kind,
): Kind {
  const text = labelText(labels);
  const known = family.instruments.get(text) as Kind | undefined;
  if (known) return known;
  const created = create();
  family.instruments.set(text, created);
  return created;
}

function renderFamily(name: string, family: Family): string[] {
  const lines = [`# HELP ${name} ${family.help}`];
  lines.push(`# TYPE ${name} ${family.type}`);
  for (const [labels, source] of family.sources) {
    lines.push(`${name}${braced(labels)} ${source()}`);
  }
  for (const [labels, instrument] of family.instruments) {
    lines.push(...renderInstrument(name, labels, instrument));
  }
  return lines;
}

function renderInstrument(
  name: string,
  labels: string,
  instrument: Instrument,
): string[] {
  if (!(instrument instanceof LatencyHistogram)) {
    return [`${name}${braced(labels)} ${instrument.value}`];
  }
  const lines = QUANTILES.map(quantile => {
    const seconds = instrument.quantile(quantile) / MILLIS_PER_SECOND;
    const own = `quantile="${quantile}"`;
    return `${name}${braced(labels === '' ? own : `${labels},${own}`)} ${seconds}`;
  });
  const sum = instrument.totalMillis / MILLIS_PER_SECOND;
  lines.push(`${name}_sum${braced(labels)} ${sum}`);
  lines.push(`${name}_count${braced(labels)} ${instrument.count}`);
  return lines;
}

function labelText(labels: MetricLabels): string {
  return Object.keys(labels)
    .sort()
    .map(name => `${name}="${escapeLabel(labels[name])}"`)
    .join(',');
}

function escapeLabel(value: string): string {
  return value
    .replace(/\\/g, '\\\\')
    .replace(/"/g, '\\"')
    .replace(/\n/g, '\\n');
}

function braced(labels: string): string {
  return labels === '' ? '' : `{${labels}}`;
}
