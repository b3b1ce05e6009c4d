import {EntryProcess} from '../../src/entry/entry_process.js';
import {SilentLogger} from '../../src/observability/logger.js';
import {Metrics} from '../../src/observability/metrics.js';
import {GrpcLinkFactory} from '../../src/protocol/grpc_links.js';
import type {LinkFactory} from '../../src/protocol/links.js';
import {SystemClock} from '../../src/utilities/clock.js';
import {Random} from '../../src/utilities/random.js';
import {MemoryStore} from '../stand_ins/memory_store.js';

/** One started entry that owns every shard. */
export async function startEntry(
  links: LinkFactory = new GrpcLinkFactory(),
): Promise<EntryProcess> {
  const clock = new SystemClock();
  const entry = new EntryProcess({
    record: {
      entryId: 'entry-1',
      processAddress: '127.0.0.1:1',
      callerAddress: '127.0.0.1:1',
      failureDomain: 'tema',
      nonce: 'run-1',
      stopping: false,
    },
    shardCount: 1,
    store: new MemoryStore({clock}),
    links,
    clock,
    random: new Random(1),
    logger: new SilentLogger(),
    metrics: new Metrics(),
  });
  await entry.start();
  while (ownedShards(entry) === 0) {
    await new Promise(resolve => clock.schedule(20, () => resolve(undefined)));
  }
  return entry;
}

function ownedShards(entry: EntryProcess): number {
  return (entry.dumpState() as {shards: readonly object[]}).shards.length;
}

/** Submits or shows a job without the network in between. */
export async function jobStatus(
  entry: EntryProcess,
  method: 'GET' | 'POST',
  name: string,
): Promise<number> {
  const segments = ['v1', 'teams', 'depot', 'jobs'];
  if (method === 'GET') segments.push(name);
  const answer = await entry.call({
    method,
    target: `/${segments.join('/')}`,
    segments,
    query: new URLSearchParams(),
    headers: new Map(),
    body: Buffer.from(JSON.stringify({name})),
  });
  return answer.status;
}
