import {randomUUID} from 'node:crypto';
import type {EntryApi} from './entry_api.js';
import type {FleetRecords} from './fleet_records.js';
import {pause} from './wait_until.js';

const CONCURRENT_REQUESTS = 8;
/** Spreads the requests, so that they meet what happens meanwhile. */
const PAUSE_MILLIS = 180;
const DEADLINE_MILLIS = 5_000;
const RUN_MILLIS = 20;

interface SentRequest {
  readonly id: string;
  readonly method: string;
  /** The caller got the whole answer to this very request. */
  answered: boolean;
  fault?: string;
}

export interface ServiceTally {
  /** Answered whole, and run as often as the method allows. */
  readonly served: number;
  readonly failed: number;
  /** Not idempotent requests that ran more than once. */
  readonly ranTwice: number;
  readonly faults: readonly string[];
}

/** Sends service requests through all entries in turn and checks the answers. */
export class ServiceLoad {
  private readonly sent: SentRequest[] = [];

  constructor(
    private readonly entries: readonly EntryApi[],
    private readonly service: string,
  ) {}

  /** Sends so many requests, half of them not idempotent. */
  async send(count: number): Promise<void> {
    let left = count;
    const sendSome = async () => {
      while (left > 0) {
        left--;
        await this.sendOne();
        await pause(PAUSE_MILLIS);
      }
    };
    await Promise.all(Array.from({length: CONCURRENT_REQUESTS}, sendSome));
  }

  /** Counted by what the executors wrote down. */
  tally(records: FleetRecords): ServiceTally {
    const runs = records.requestRuns();
    let served = 0;
    let ranTwice = 0;
    for (const request of this.sent) {
      const times = runs.get(request.id) ?? 0;
      const once = request.method !== 'POST' || times <= 1;
      if (!once) ranTwice++;
      if (request.answered && times > 0 && once) served++;
    }
    const faults = this.sent.flatMap(request => request.fault ?? []);
    return {served, failed: this.sent.length - served, ranTwice, faults};
  }

  private async sendOne(): Promise<void> {
    const index = this.sent.length;
    const method = index % 2 === 0 ? 'POST' : 'GET';
    const request: SentRequest = {id: randomUUID(), method, answered: false};
    this.sent.push(request);
    const entry = this.entries[index % this.entries.length];
    const body = method === 'POST' ? `check ${request.id}` : undefined;
    const path = `/v1/services/${this.service}/checks?runMillis=${RUN_MILLIS}`;
    const headers = {
      'x-request-id': request.id,
      'x-deadline-milliseconds': String(DEADLINE_MILLIS),
    };
    try {
      const answer = await entry.serve(path, {method, body, headers});
      request.fault = findFault(request, answer.status, answer.body, body);
    } catch (thrown) {
      request.fault = thrown instanceof Error ? thrown.message : String(thrown);
    }
    request.answered = request.fault === undefined;
  }
}

function findFault(
  request: SentRequest,
  status: number,
  text: string,
  body = '',
): string | undefined {
  if (status !== 200) return `status ${status}: ${text}`;
  const answer = JSON.parse(text) as {requestId: string; echo: string};
  if (answer.requestId === request.id && answer.echo === body) return undefined;
  return `answer of ${answer.requestId} to ${request.id}`;
}
