import {parseArgs} from 'node:util';
import {appendLine, readLines, runStandIn} from './stand_in_process.js';
import {StoreStandIn} from './store_stand_in.js';
import type {TableEntry} from './store_table.js';

/** Usage: node store_main.js [--listen HOST:PORT] [--journal FILE] */
const {values} = parseArgs({
  options: {listen: {type: 'string'}, journal: {type: 'string'}},
});
const {journal} = values;
const standIn = new StoreStandIn({
  entries: journal ? readLines<TableEntry>(journal) : [],
  journal: journal ? entry => appendLine(journal, entry) : undefined,
});
await runStandIn(standIn, values.listen);
