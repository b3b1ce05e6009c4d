import {randomUUID} from 'node:crypto';
import type {EntryApi, EntryCall, ServiceAnswer} from './entry_api.js';
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
  private sending: Promise<void> = Promise.resolve();
  private stopped = false;

  constructor(
    private readonly entries: readonly EntryApi[],
    private readonly service: string,
  ) {}

  /** Goes on sending requests until it is stopped. */
  start(): void {
    const sendSome = async () => {
      while (!this.stopped) await this.sendAndPause();
    };
    this.sending = this.sendTogether(sendSome);
  }

  /** Resolves when all requests under way have ended. */
  async stop(): Promise<void> {
    this.stopped = true;
    await this.sending;
  }

  /** Sends so many requests, half of them not idempotent. */
  async send(count: number): Promise<void> {
    let left = count;
    const sendSome = async () => {
      while (left > 0) {
        left--;
        await this.sendAndPause();
      }
    };
    await this.sendTogether(sendSome);
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

  /** Like a balancer, takes the next entry when one accepts no connection. */
  private async serve(
    index: number,
    path: string,
    call: EntryCall,
  ): Promise<ServiceAnswer> {
    const {entries} = this;
    let refused: unknown;
    for (let offset = 0; offset < entries.length; offset++) {
      const entry = entries[(index + offset) % entries.length];
      try {
        return await entry.serve(path, call);
      } catch (thrown) {
        if (!isRefused(thrown)) throw thrown;
        refused = thrown;
      }
    }
    throw refused;
  }

  private async sendTogether(sendSome: () => Promise<void>): Promise<void> {
    await Promise.all(Array.from({length: CONCURRENT_REQUESTS}, sendSome));
  }

  private async sendAndPause(): Promise<void> {
    await this.sendOne();
    await pause(PAUSE_MILLIS);
  }

  private async sendOne(): Promise<void> {
    const index = this.sent.length;
    const method = index % 2 === 0 ? 'POST' : 'GET';
    const request: SentRequest = {id: randomUUID(), method, answered: false};
    this.sent.push(request);
    const body = method === 'POST' ? `check ${request.id}` : undefined;
    const path = `/v1/services/${this.service}/checks?runMillis=${RUN_MILLIS}`;
    const headers = {
      'x-request-id': request.id,
      'x-deadline-milliseconds': String(DEADLINE_MILLIS),
    };
    try {
      const answer = await this.serve(index, path, {method, body, headers});
      request.fault = findFault(request, answer.status, answer.body, body);
    } catch (thrown) {
      request.fault = describe(thrown);
    }
    request.answered = request.fault === undefined;
  }
}

function describe(thrown: unknown): string {
  if (!(thrown instanceof Error)) return String(thrown);
  const cause =
    thrown.cause instanceof Error ? `: ${thrown.cause.message}` : '';
  return `${thrown.message}${cause}`;
}

/** Whether no connection came about, so that nothing was sent. */
function isRefused(thrown: unknown): boolean {
  const cause = thrown instanceof Error ? thrown.cause : undefined;
  return (cause as {code?: string} | undefined)?.code === 'ECONNREFUSED';
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
