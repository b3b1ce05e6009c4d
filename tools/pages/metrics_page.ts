import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {GENERATED_NOTE, joinBlocks, markdownTable} from './markdown.js';

const SOURCE_FOLDER = 'src';
/** Before every name, as the metrics are rendered. */
const PREFIX = 'burdockmoor_';
/** A metric as it is asked for: its kind, name, help and labels, all literal. */
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

/** The page of the metrics, from the places in the code that ask for them. */
export function metricsPage(): string {
  const metrics = findMetrics();
  return joinBlocks([
    GENERATED_NOTE,
    '# Metrics',
    "Served as text in the common exposition format: by an entry and an agent of burdockmoor at `/metrics` of their address, on the users' platform at port 9464. Summaries give the quantiles 0.5, 0.9, 0.99 and 0.999, the sum and the count.",
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

/** By name; a metric that is asked for in several places is named once. */
export function findMetrics(): readonly MetricDefinition[] {
  const found = new Map<string, MetricDefinition>();
  for (const file of sourceFiles(SOURCE_FOLDER)) {
    const text = readFileSync(file, 'utf8');
    for (const [, call, name, , help, labels = ''] of text.matchAll(
      DEFINITION,
    )) {
      const keys = labels.split(',').map(label => label.split(':')[0].trim());
      found.set(name, {
        name: PREFIX + name,
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

/** The files of the product's own code. */
export function sourceFiles(folder: string): string[] {
  return readdirSync(folder, {recursive: true, encoding: 'utf8'})
    .filter(file => file.endsWith('.ts') && !file.includes('generated'))
    .map(file => path.join(folder, file))
    .sort();
}
