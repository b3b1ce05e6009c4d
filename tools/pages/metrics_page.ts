import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {GENERATED_PAGE_COMMENT, joinBlocks, markdownTable} from './markdown.js';

const SOURCE_FOLDER = 'src';
/** Prefix of every exported metric name. */
const METRIC_PREFIX = 'burdockmoor_';
/** Matches a metric in the code: kind, name, help and labels as literals. */
const DEFINITION =
  /\.(counter|gauge|latency|observe)\(\s*'([a-z0-9_]+)',\s*(['"])(.*?)\3(?:,\s*\{([^}]*)\})?/gs;
const KINDS: Readonly<Record<string, string>> = {
  counter: 'counter',
  gauge: 'gauge',
  observe: 'gauge',
  latency: 'summary, seconds',
};

interface MetricDefinition {
  readonly name: string;
  readonly kind: string;
  readonly help: string;
  readonly labels: string;
}

/** Generates the page of the metrics from the code that registers them. */
export function metricsPage(): string {
  const metrics = findMetrics();
  return joinBlocks([
    GENERATED_PAGE_COMMENT,
    '# Metrics',
    "Metrics are served in the Prometheus text format: by an entry and an agent of burdockmoor at `/metrics` of their address, on the users' platform at port 9464. Summaries have the quantiles 0.5, 0.9, 0.99 and 0.999, the sum and the count.",
    markdownTable(
      ['name', 'kind', 'labels', 'meaning'],
      metrics.map(({name, kind, labels, help}) => [
        `\`${name}\``,
        kind,
        labels,
        help,
      ]),
    ),
  ]);
}

/** Returns the metrics sorted by name, each once, however often it is used. */
export function findMetrics(): readonly MetricDefinition[] {
  const found = new Map<string, MetricDefinition>();
  for (const file of sourceFiles(SOURCE_FOLDER)) {
    const text = readFileSync(file, 'utf8');
    for (const [, call, name, , help, labels = ''] of text.matchAll(
      DEFINITION,
    )) {
      const keys = labels.split(',').map(label => label.split(':')[0].trim());
      found.set(name, {
        name: METRIC_PREFIX + name,
        kind: KINDS[call],
        help,
        labels: keys.filter(key => key !== '').join(', '),
      });
    }
  }
  return [...found.values()].sort((left, right) =>
    left.name < right.name ? -1 : 1,
  );
}

/** Returns the source files in a folder, without generated code. */
export function sourceFiles(folder: string): string[] {
  return readdirSync(folder, {recursive: true, encoding: 'utf8'})
    .filter(file => file.endsWith('.ts') && !file.includes('generated'))
    .map(file => path.join(folder, file))
    .sort();
}
