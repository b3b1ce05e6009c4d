import {parseArgs} from 'node:util';
import {InterferenceModel} from './interference.js';
import type {InterferencePair} from './interference.js';
import {appendLine, runStandIn} from './stand_in_process.js';
import {WorkerStandIn} from './worker_stand_in.js';

/**
 * Usage: node worker_main.js --id ID [--listen HOST:PORT] [--records FILE]
 *   [--milliprocessors N] [--memory-megabytes N] [--accelerators N]
 *   [--interference JSON]
 */
const {values} = parseArgs({
  options: {
    id: {type: 'string', default: 'worker'},
    listen: {type: 'string'},
    records: {type: 'string'},
    milliprocessors: {type: 'string', default: '16000'},
    'memory-megabytes': {type: 'string', default: '60000'},
    accelerators: {type: 'string', default: '0'},
    interference: {type: 'string', default: '[]'},
  },
});
const {records} = values;
const pairs = JSON.parse(values.interference) as InterferencePair[];
const standIn = new WorkerStandIn({
  id: values.id,
  capacity: {
    milliprocessors: Number(values.milliprocessors),
    memoryMegabytes: Number(values['memory-megabytes']),
    accelerators: Number(values.accelerators),
  },
  interference: new InterferenceModel(pairs),
  onRecord: records ? record => appendLine(records, record) : undefined,
});
await runStandIn(standIn, values.listen);
