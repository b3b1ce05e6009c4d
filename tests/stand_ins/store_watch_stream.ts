import type {ServerResponse} from 'node:http';
import type {StoreChange} from '../../src/backends/store.js';
import {encodeText} from '../../src/backends/store_messages.js';
import type {Clock, Timer} from '../../src/utilities/clock.js';
import type {StoreFaults} from './store_stand_in.js';
import type {StoreTable, TableWatcher} from './store_table.js';

const PROGRESS_MILLIS = 5_000;

export interface StoreWatchStreamOptions {
  readonly prefix: string;
  readonly fromRevision: number;
  readonly table: StoreTable;
  readonly clock: Clock;
  readonly faults: StoreFaults;
  readonly response: ServerResponse;
}

/** An open watch of a client of the store stand-in. */
export class StoreWatchStream implements TableWatcher {
  readonly prefix: string;
  private progress?: Timer;

  constructor(private readonly options: StoreWatchStreamOptions) {
    this.prefix = options.prefix;
    const {response, table, fromRevision} = options;
    response.writeHead(200, {'content-type': 'application/json'});
    if (fromRevision > 0 && fromRevision <= table.compactedRevision) {
      const compacted = String(table.compactedRevision);
      this.send({canceled: true, compact_revision: compacted});
      response.end();
      return;
    }
    this.send({created: true});
    table.addWatcher(this);
    const from = fromRevision || table.revision + 1;
    const missed = table.changesSince(this.prefix, from);
    if (missed.length > 0) this.notify(missed);
    this.scheduleProgress();
  }

  notify(changes: readonly StoreChange[]): void {
    const {faults, clock} = this.options;
    const send = () => this.send({events: changes.map(toEvent)});
    if (faults.delayMillis === 0) return send();
    clock.schedule(faults.delayMillis, send);
  }

  close(): void {
    this.progress?.cancel();
    this.options.table.removeWatcher(this);
  }

  private scheduleProgress(): void {
    this.progress = this.options.clock.schedule(PROGRESS_MILLIS, () => {
      this.send({});
      this.scheduleProgress();
    });
  }

  private send(result: object): void {
    const {faults, response, table} = this.options;
    if (faults.watchesSilent || response.destroyed) return;
    const header = {revision: String(table.revision)};
    response.write(`${JSON.stringify({result: {header, ...result}})}\n`);
  }
}

function toEvent(change: StoreChange): object {
  const mod_revision = String(change.revision);
  const key = encodeText(change.key);
  if (change.value === undefined) {
    return {type: 'DELETE', kv: {key, mod_revision}};
  }
  return {kv: {key, value: encodeText(change.value), mod_revision}};
}
