import {parseArgs} from 'node:util';
import {ExecutorStandIn} from './executor_stand_in.js';
import {InterferenceModel} from './interference.js';
import type {InterferencePair} from './interference.js';
import {appendLine, runStandIn} from './stand_in_process.js';
import {WorkerObserver} from './worker_observer.js';

/**
 * Usage: node executor_main.js --id ID [--listen HOST:PORT] [--runs FILE]
 *   [--service NAME] [--worker HOST:PORT] [--interference JSON]
 */
const {values} = parseArgs({
  options: {
    id: {type: 'string', default: 'executor'},
    listen: {type: 'string'},
    runs: {type: 'string'},
    service: {type: 'string'},
    worker: {type: 'string'},
    interference: {type: 'string', default: '[]'},
  },
});
const {runs, worker} = values;
const pairs = JSON.parse(values.interference) as InterferencePair[];
const observer = worker ? new WorkerObserver(worker) : undefined;
const standIn = new ExecutorStandIn({
  id: values.id,
  service: values.service,
  interference: new InterferenceModel(pairs),
  coLocatedTaskKinds: () => observer?.kinds ?? [],
  onRun: runs ? run => appendLine(runs, run) : undefined,
});
await runStandIn(standIn, values.listen);
