import type {IncomingMessage} from 'node:http';
import type {WorkerReport} from '../../backends/leased_worker.js';
import {HttpListener} from '../../http/http_listener.js';
import type {ListenerLimits} from '../../http/listener_limits.js';
import type {ListenerMonitor} from '../../http/listener_monitor.js';
import {BodyBudgetError, BodyTooLargeError} from '../../http/request_bodies.js';

import {sendResponse} from '../../http/send_response.js';
import type {HttpResponse} from '../../http/send_response.js';

/** Larger reports are rejected. */
const MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;
const RETRY_AFTER_SECONDS = '1';

export interface ReportServerOptions {
  /** Path prefix of reports, followed by the id of the worker. */
  readonly prefix: string;
  /** Returns undefined for a report that is refused. */
  readonly read: (id: string, text: string) => WorkerReport | undefined;
  readonly onReport: (report: WorkerReport) => void;
  /** Called when the worker with this id announces its end. */
  readonly onLeaving: (id: string) => void;
  readonly limits?: Partial<ListenerLimits>;
  readonly monitor?: ListenerMonitor;
}

/** HTTP server that receives the reports of the worker on this machine. */
export class ReportServer {
  private readonly listener: HttpListener;

  constructor(private readonly options: ReportServerOptions) {
    this.listener = new HttpListener({
      handle: async (request, response) =>
        sendResponse(request, response, await this.serve(request)),
      limits: options.limits,
      monitor: options.monitor,
    });
  }

  /** Resolves to the port; port 0 selects a free one. */
  listen(host: string, port: number): Promise<number> {
    return this.listener.listen(host, port);
  }

  close(): void {
    this.listener.close();
  }

  private async serve(request: IncomingMessage): Promise<HttpResponse> {
    const {prefix} = this.options;
    const url = request.url ?? '';
    if (!url.startsWith(prefix)) return {status: 404};
    const id = decodePathSegment(url.slice(prefix.length));
    if (id === undefined) return {status: 400};
    try {
      return await this.listener.bodies.use(request, MAXIMUM_BODY_BYTES, body =>
        this.handle(request.method ?? '', id, body.toString('utf8')),
      );
    } catch (error) {
      return refusalOfBody(error);
    }
  }

  private handle(method: string, id: string, text: string): HttpResponse {
    if (method === 'DELETE') {
      this.options.onLeaving(id);
      return {status: 200};
    }
    const report = this.options.read(id, text);
    // Without an acknowledgement, a worker of another agent goes on to its own.
    if (!report) return {status: 400};
    this.options.onReport(report);
    const headers = [['content-type', 'application/json']] as const;
    return {status: 200, headers, body: '{}'};
  }
}

/** @throws the error if the body itself was received. */
function refusalOfBody(error: unknown): HttpResponse {
  if (error instanceof BodyTooLargeError) return {status: 413};
  if (!(error instanceof BodyBudgetError)) throw error;
  const headers = [['retry-after', RETRY_AFTER_SECONDS]] as const;
  return {status: 503, headers};
}

/** Returns undefined for an invalid escape sequence. */
function decodePathSegment(segment: string): string | undefined {
  try {
    return decodeURIComponent(segment);
  } catch {
    return undefined;
  }
}
