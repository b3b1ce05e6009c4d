import histogramModule from 'hdr-histogram-js/dist/Int32Histogram.js';

/** Counters, gauges and latency histograms in the Prometheus text format. */

// The package is CommonJS and exports its class as `default`.
const Int32Histogram = histogramModule.default;

export type MetricLabels = Readonly<Record<string, string>>;

const MICROS_PER_MILLI = 1000;
const MILLIS_PER_SECOND = 1000;
const MAXIMUM_LATENCY_MICROS = 600_000_000;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = [0.5, 0.9, 0.99, 0.999];
/** Makes the names unique where metrics of several systems are collected. */
const METRIC_NAME_PREFIX = 'burdockmoor_';
const METRIC_NAME_PATTERN = /^[a-z][a-z0-9_]*$/;

/** A value that only increases. */
export class Counter {
  private total = 0;

  get value(): number {
    return this.total;
  }

  increment(by = 1): void {
    this.total += by;
  }
}

/** A value that can increase and decrease. */
export class Gauge {
  private current = 0;

  get value(): number {
    return this.current;
  }

  set(value: number): void {
    this.current = value;
  }
}

/** A histogram of durations with two significant digits. */
export class LatencyHistogram {
  private readonly histogram = new Int32Histogram(
    1,
    MAXIMUM_LATENCY_MICROS,
    SIGNIFICANT_DIGITS,
  );
  private sumMillis = 0;

  get count(): number {
    return this.histogram.totalCount;
  }

  get totalMillis(): number {
    return this.sumMillis;
  }

  /** Clamps durations to ten minutes and ignores invalid ones. */
  record(millis: number): void {
    if (!Number.isFinite(millis) || millis < 0) return;
    this.sumMillis += millis;
    const micros = Math.round(millis * MICROS_PER_MILLI);
    this.histogram.recordValue(Math.min(micros, MAXIMUM_LATENCY_MICROS));
  }

  /** Returns the quantile in milliseconds; 0 if nothing was recorded. */
  quantile(quantile: number): number {
    if (this.count === 0) return 0;
    return (
      this.histogram.getValueAtPercentile(quantile * 100) / MICROS_PER_MILLI
    );
  }
}

type Instrument = Counter | Gauge | LatencyHistogram;

interface MetricFamily {
  readonly type: 'counter' | 'gauge' | 'summary';
  readonly help: string;
  /** Instruments by their serialized labels. */
  readonly instruments: Map<string, Instrument>;
  /** Callbacks by serialized labels; called when the metrics are rendered. */
  readonly sources: Map<string, () => number>;
}

/** Metrics of one process; a name and labels identify one instrument. */
export class Metrics {
  private readonly families = new Map<string, MetricFamily>();

  counter(name: string, help: string, labels: MetricLabels = {}): Counter {
    const family = this.findOrAddFamily(name, 'counter', help);
    return findOrAddInstrument(family, labels, () => new Counter());
  }

  gauge(name: string, help: string, labels: MetricLabels = {}): Gauge {
    const family = this.findOrAddFamily(name, 'gauge', help);
    return findOrAddInstrument(family, labels, () => new Gauge());
  }

  /** Adds a gauge whose value is read only when the metrics are rendered. */
  observe(
    name: string,
    help: string,
    source: () => number,
    labels: MetricLabels = {},
  ): void {
    const family = this.findOrAddFamily(name, 'gauge', help);
    family.sources.set(serializeLabels(labels), source);
  }

  /** Returns a histogram of milliseconds that is rendered in seconds. */
  latency(
    name: string,
    help: string,
    labels: MetricLabels = {},
  ): LatencyHistogram {
    const family = this.findOrAddFamily(name, 'summary', help);
    return findOrAddInstrument(family, labels, () => new LatencyHistogram());
  }

  render(): string {
    const lines: string[] = [];
    for (const name of [...this.families.keys()].sort()) {
      lines.push(
        ...renderFamily(METRIC_NAME_PREFIX + name, this.families.get(name)!),
      );
    }
    return lines.map(line => `${line}\n`).join('');
  }

  private findOrAddFamily(
    name: string,
    type: MetricFamily['type'],
    help: string,
  ): MetricFamily {
    if (!METRIC_NAME_PATTERN.test(name))
      throw new TypeError(`Invalid metric name ${name}`);
    const existing = this.families.get(name);
    if (existing && existing.type !== type) {
      throw new TypeError(
        `Metric ${name} is a ${existing.type}, not a ${type}`,
      );
    }
    if (existing) return existing;
    const family: MetricFamily = {
      type,
      help,
      instruments: new Map(),
      sources: new Map(),
    };
    this.families.set(name, family);
    return family;
  }
}

function findOrAddInstrument<Kind extends Instrument>(
  family: MetricFamily,
  labels: MetricLabels,
  create: () => Kind,
): Kind {
  const text = serializeLabels(labels);
  const existing = family.instruments.get(text) as Kind | undefined;
  if (existing) return existing;
  const created = create();
  family.instruments.set(text, created);
  return created;
}

function renderFamily(name: string, family: MetricFamily): string[] {
  const lines = [`# HELP ${name} ${family.help}`];
  lines.push(`# TYPE ${name} ${family.type}`);
  for (const [labels, source] of family.sources) {
    lines.push(`${name}${inBraces(labels)} ${source()}`);
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
    return [`${name}${inBraces(labels)} ${instrument.value}`];
  }
  const lines = QUANTILES.map(quantile => {
    const seconds = instrument.quantile(quantile) / MILLIS_PER_SECOND;
    const quantileLabel = `quantile="${quantile}"`;
    return `${name}${inBraces(labels === '' ? quantileLabel : `${labels},${quantileLabel}`)} ${seconds}`;
  });
  const sum = instrument.totalMillis / MILLIS_PER_SECOND;
  lines.push(`${name}_sum${inBraces(labels)} ${sum}`);
  lines.push(`${name}_count${inBraces(labels)} ${instrument.count}`);
  return lines;
}

function serializeLabels(labels: MetricLabels): string {
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

function inBraces(labels: string): string {
  return labels === '' ? '' : `{${labels}}`;
}
