import {messageOf} from '../utilities/base_error.js';
import type {Clock} from '../utilities/clock.js';
import {HttpConnections} from './http_connections.js';
import type {HttpResponse} from './http_exchange.js';
import {WorkerRefusedError, WorkerUnavailableError} from './platform_errors.js';
import type {
  Worker,
  WorkerStatus,
  WorkerTask,
  WorkerTaskStart,
} from './worker.js';

const DEFAULT_TIMEOUT_MILLIS = 2_000;
const DEFAULT_CONNECTIONS = 4;
const FIRST_CLIENT_ERROR_STATUS = 400;
const FIRST_SERVER_ERROR_STATUS = 500;

export interface HttpWorkerOptions {
  /** HOST:PORT or an origin. */
  readonly address: string;
  readonly clock?: Clock;
  readonly connections?: number;
  readonly timeoutMillis?: number;
}

/** A worker reached over HTTP/1.1 with JSON bodies. */
export class HttpWorker implements Worker {
  private readonly connections: HttpConnections;
  private readonly timeoutMillis: number;

  constructor(options: HttpWorkerOptions) {
    this.connections = new HttpConnections({
      ...options,
      connections: options.connections ?? DEFAULT_CONNECTIONS,
    });
    this.timeoutMillis = options.timeoutMillis ?? DEFAULT_TIMEOUT_MILLIS;
  }

  status(): Promise<WorkerStatus> {
    return this.call<WorkerStatus>('GET', '/v1/status');
  }

  async start(task: WorkerTaskStart): Promise<void> {
    await this.call('POST', '/v1/tasks/start', task);
  }

  async renew(ids: readonly string[], leaseExpiresAt: number): Promise<void> {
    await this.call('POST', '/v1/tasks/renew', {ids, leaseExpiresAt});
  }

  async checkpoint(id: string): Promise<string> {
    const response = await this.call<{checkpoint: string}>(
      'POST',
      '/v1/tasks/checkpoint',
      {id},
    );
    return response.checkpoint;
  }

  async throttle(id: string, share: number): Promise<void> {
    await this.call('POST', '/v1/tasks/throttle', {id, share});
  }

  stop(id: string, options?: {checkpoint?: boolean}): Promise<WorkerTask> {
    const checkpoint = options?.checkpoint ?? false;
    return this.call<WorkerTask>('POST', '/v1/tasks/stop', {id, checkpoint});
  }

  async forget(ids: readonly string[]): Promise<void> {
    await this.call('POST', '/v1/tasks/forget', {ids});
  }

  close(reason: string): void {
    this.connections.close(reason);
  }

  private async call<Reply>(
    method: string,
    path: string,
    body?: object,
  ): Promise<Reply> {
    const response = await this.exchange(method, path, body);
    const text = response.body.toString();
    if (response.status >= FIRST_SERVER_ERROR_STATUS) {
      throw new WorkerUnavailableError(`${path}: ${response.status} ${text}`);
    }
    if (response.status >= FIRST_CLIENT_ERROR_STATUS) {
      throw new WorkerRefusedError(`${path}: ${text}`);
    }
    try {
      return JSON.parse(text) as Reply;
    } catch (thrown) {
      throw new WorkerUnavailableError(`${path}: ${messageOf(thrown)}`);
    }
  }

  private async exchange(
    method: string,
    path: string,
    body?: object,
  ): Promise<HttpResponse> {
    try {
      return await this.connections.call({
        method,
        path,
        headers: [['content-type', 'application/json']],
        body: body ? JSON.stringify(body) : '',
        timeoutMillis: this.timeoutMillis,
      });
    } catch (thrown) {
      throw new WorkerUnavailableError(messageOf(thrown));
    }
  }
}
