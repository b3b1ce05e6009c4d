import type {FleetConfiguration, QueueConfiguration} from './workflow_types.js';

/** Finds the queue of a request by host and longest prefix of the path. */
export class QueueTable {
  private readonly byHost = new Map<string, QueueConfiguration[]>();
  private readonly byName = new Map<string, QueueConfiguration>();

  constructor(readonly configuration: FleetConfiguration) {
    for (const queue of configuration.queues) this.add(queue);
    for (const queues of this.byHost.values()) {
      queues.sort((left, right) => right.prefix.length - left.prefix.length);
    }
  }

  find(host: string, path: string): QueueConfiguration | undefined {
    const queues = this.byHost.get(withoutPort(host)) ?? [];
    return queues.find(queue => path.startsWith(queue.prefix));
  }

  findByName(name: string): QueueConfiguration | undefined {
    return this.byName.get(name);
  }

  private add(queue: QueueConfiguration): void {
    const host = withoutPort(queue.host);
    const queues = this.byHost.get(host);
    if (queues) queues.push(queue);
    else this.byHost.set(host, [queue]);
    this.byName.set(queue.name, queue);
  }
}

function withoutPort(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}
