import {waitUntil} from './wait_until.js';

/** The few calls to an entry that the fleet's programs make. */

const CALL_TIMEOUT_MILLIS = 10_000;
const SUBMIT_DEADLINE_MILLIS = 15_000;
const SUBMIT_PAUSE_MILLIS = 200;

export interface VmView {
  readonly vm: string;
  readonly failureDomain: string;
  readonly runningAttempts: number;
  readonly stopping: boolean;
  readonly recovering: boolean;
}

export interface UpstreamView {
  readonly vm: string;
  readonly unavailable: boolean;
}

export interface ProcessStatusView {
  readonly processId: string;
  readonly role: string;
  readonly settingsRevision: number;
}

export interface WorkView {
  readonly phase: string;
  readonly counts: Readonly<Record<string, number>>;
}

export interface SettingsAnswer {
  readonly revision: number;
}

export interface ServiceAnswer {
  readonly status: number;
  readonly requestId: string | null;
  readonly body: string;
}

/** An answer other than 2xx. */
export class ApiCallError extends Error {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

export interface EntryCall {
  readonly method?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Calls one entry over HTTP; every call has a timeout. */
export class EntryApi {
  constructor(readonly address: string) {}

  async call<Answer>(path: string, options: EntryCall = {}): Promise<Answer> {
    const answer = await this.fetch(path, options);
    const text = await answer.text();
    if (answer.ok) return JSON.parse(text) as Answer;
    const what = `${options.method ?? 'GET'} ${path}`;
    throw new ApiCallError(answer.status, `${what}: ${answer.status} ${text}`);
  }

  post<Answer>(path: string, value: object = {}): Promise<Answer> {
    return this.call(path, {method: 'POST', body: JSON.stringify(value)});
  }

  /** Submits work, again while no entry owns its shard; the name makes it one. */
  async submit(path: string, work: object): Promise<void> {
    await waitUntil(
      `POST ${path}`,
      async () => {
        await this.post(path, work);
        return true;
      },
      {deadlineMillis: SUBMIT_DEADLINE_MILLIS, pollMillis: SUBMIT_PAUSE_MILLIS},
    );
  }

  async vms(): Promise<readonly VmView[]> {
    const {vms} = await this.call<{vms: VmView[]}>('/v1/vms');
    return vms;
  }

  async upstreams(service: string): Promise<readonly UpstreamView[]> {
    const {services} = await this.call<{
      services: Array<{service: string; upstreams: UpstreamView[]}>;
    }>('/v1/services');
    return services.find(each => each.service === service)?.upstreams ?? [];
  }

  async statuses(): Promise<readonly ProcessStatusView[]> {
    const {processes} = await this.call<{processes: ProcessStatusView[]}>(
      '/v1/settings-status',
    );
    return processes;
  }

  /** Writes a branch that does not exist yet, or over a known revision. */
  putSettings(
    branch: string,
    text: string,
    revision: number,
  ): Promise<SettingsAnswer> {
    return this.call(`/v1/settings/${branch}`, {
      method: 'PUT',
      body: text,
      headers: {'if-match': String(revision), 'x-author': 'fleet'},
    });
  }

  /** Sends a service request and reads the whole answer, whatever its status. */
  async serve(path: string, options: EntryCall): Promise<ServiceAnswer> {
    const answer = await this.fetch(path, options);
    const requestId = answer.headers.get('x-request-id');
    return {status: answer.status, requestId, body: await answer.text()};
  }

  private fetch(path: string, options: EntryCall): Promise<Response> {
    return fetch(`http://${this.address}${path}`, {
      ...options,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MILLIS),
    });
  }
}
