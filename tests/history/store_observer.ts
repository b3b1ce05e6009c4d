import {LogRecordType} from '../../src/decisions/job_types.js';
import {recordsOf} from '../../src/entry/shards/shard_log.js';
import {parseFleetSettings} from '../../src/settings/settings_branches.js';
import type {TableEntry} from '../stand_ins/store_table.js';
import type {History} from './history.js';

const LOG_KEY = /^jobs\/\d+\/log\//;
const SETTINGS_PREFIX = 'settings/';

/** Records what the store came to hold: ends of attempts, settings. */
export class StoreObserver {
  constructor(private readonly history: History) {}

  observe(entry: TableEntry): void {
    if (entry.type !== 'put') return;
    if (LOG_KEY.test(entry.key)) this.observeLog(entry.value);
    if (entry.key.startsWith(SETTINGS_PREFIX)) {
      const branch = entry.key.slice(SETTINGS_PREFIX.length);
      this.observeSettings(branch, entry.revision, entry.value);
    }
  }

  private observeLog(value: string): void {
    for (const record of recordsOf(value)) {
      if (record.type !== LogRecordType.CLOSED) continue;
      const {team, job, task, attempt} = record.name;
      this.history.record({
        type: 'attemptClosed',
        name: {team, job, task},
        attempt,
        outcome: record.outcome,
        checkpointMillis: doneMillisOf(record.checkpoint),
      });
    }
  }

  private observeSettings(
    branch: string,
    revision: number,
    value: string,
  ): void {
    const {text} = JSON.parse(value) as {text: string};
    const parsed = branch === 'fleet' ? parseFleetSettings(text) : undefined;
    const domainsOut = [...(parsed?.settings?.failureDomainsOut ?? [])];
    const drainedVms = [...(parsed?.settings?.drainedVms ?? [])];
    const texts = {branch, revision, domainsOut, drainedVms};
    this.history.record({type: 'settingsAccepted', ...texts});
  }
}

function doneMillisOf(checkpoint: string): number {
  if (checkpoint === '') return 0;
  return (JSON.parse(checkpoint) as {doneMillis: number}).doneMillis;
}
