import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {WorkerReport} from '../../backends/leased_worker.js';

/** Larger reports are rejected. */
const MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

export interface ReportServerOptions {
  /** Path prefix of reports, followed by the id of the worker. */
  readonly prefix: string;
  /** Returns undefined for a report that is refused. */
  readonly read: (id: string, text: string) => WorkerReport | undefined;
  readonly onReport: (report: WorkerReport) => void;
  /** Called when the worker with this id announces its end. */
  readonly onLeaving: (id: string) => void;
}

/** HTTP server that receives the reports of the worker on this machine. */
export class ReportServer {
  private readonly server: Server;

  constructor(private readonly options: ReportServerOptions) {
    this.server = createServer((request, response) =>
      this.serve(request, response),
    );
  }

  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  close(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    const {prefix} = this.options;
    const url = request.url ?? '';
    if (!url.startsWith(prefix)) {
      response.writeHead(404).end();
      return;
    }
    const id = decodePathSegment(url.slice(prefix.length));
    if (id === undefined) {
      response.writeHead(400).end();
      return;
    }
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= MAXIMUM_BODY_BYTES) chunks.push(chunk);
    });
    request.on('end', () => {
      const text = Buffer.concat(chunks).toString('utf8');
      if (bytes > MAXIMUM_BODY_BYTES) response.writeHead(413).end();
      else this.respond(request.method ?? '', id, text, response);
    });
  }

  private respond(
    method: string,
    id: string,
    text: string,
    response: ServerResponse,
  ): void {
    if (method === 'DELETE') {
      this.options.onLeaving(id);
      response.writeHead(200).end();
      return;
    }
    const report = this.options.read(id, text);
    // Without an acknowledgement, a worker of another agent goes on to its own.
    if (!report) return void response.writeHead(400).end();
    this.options.onReport(report);
    response.writeHead(200, {'content-type': 'application/json'}).end('{}');
  }
}

/** Returns undefined for an invalid escape sequence. */
function decodePathSegment(segment: string): string | undefined {
  try {
    return decodeURIComponent(segment);
  } catch {
    return undefined;
  }
}
