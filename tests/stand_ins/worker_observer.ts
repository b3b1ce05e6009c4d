import {get} from 'node:http';

const POLL_MILLIS = 200;

/** Polls the task kinds running on a worker, for the executor on its VM. */
export class WorkerObserver {
  kinds: readonly string[] = [];
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly address: string) {
    this.timer = setInterval(() => this.poll(), POLL_MILLIS);
    this.timer.unref();
  }

  private poll(): void {
    const request = get(`http://${this.address}/control/status`, response => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => (text += chunk));
      response.on('end', () => {
        this.kinds = (
          JSON.parse(text) as {runningKinds: string[]}
        ).runningKinds;
      });
    });
    request.on('error', () => (this.kinds = []));
  }
}
