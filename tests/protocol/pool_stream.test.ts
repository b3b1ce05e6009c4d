import test from 'ava';
import {
  PoolServiceClient,
  WorkerCommands,
  WorkerUpdate,
} from '../../src/protocol/generated/burdockmoor.js';
import {GrpcPoolLinkFactory} from '../../src/protocol/grpc_pool_links.js';
import {GrpcServer} from '../../src/protocol/grpc_server.js';
import type {
  Attachment,
  AttachmentListener,
  PoolHandlers,
} from '../../src/protocol/pool_links.js';
import {VirtualClock} from '../../src/utilities/virtual_clock.js';
import {until} from '../stand_ins/until.js';
import {credentials} from '@grpc/grpc-js';

// The virtual clock keeps deadlines from passing while the test's process waits
// for a processor.
const clock = new VirtualClock();
const links = new GrpcPoolLinkFactory({clock});
const EMPTY_UPDATE = WorkerUpdate.decode(new Uint8Array());

/** An owner that answers each update and records why streams ended. */
class EchoingOwner implements PoolHandlers {
  readonly updates: WorkerUpdate[] = [];
  readonly endReasons: string[] = [];
  readonly shown: string[] = [];

  attach(
    attachment: Attachment<WorkerCommands>,
  ): AttachmentListener<WorkerUpdate> {
    return {
      onMessage: update => {
        this.updates.push(update);
        attachment.send(WorkerCommands.decode(new Uint8Array()));
      },
      onEnd: reason => this.endReasons.push(reason),
    };
  }

  async findOwner() {
    return {address: 'here', epoch: 7};
  }

  async noteWorkflow() {
    return {noted: true};
  }

  async showWorkflow({workflow}: {workflow: string}) {
    this.shown.push(workflow);
    return {owned: true, state: 'running'};
  }

  async countWaiting() {
    return {owned: true, waiting: 3};
  }

  async explainPlacement({record}: {record: string}) {
    return {owned: true, explanation: record};
  }
}

async function startServer(
  owner: EchoingOwner,
): Promise<{server: GrpcServer; address: string}> {
  const server = new GrpcServer({onHandlerError: () => {}}, {clock});
  server.servePool(owner);
  const port = await server.listen('127.0.0.1:0');
  return {server, address: `127.0.0.1:${port}`};
}

/** Correctly encoded updates, each with one invalid field. */
const MALFORMED: ReadonlyArray<[string, Partial<WorkerUpdate>]> = [
  ['a name that is too long', {agent: 'a'.repeat(10_000)}],
  [
    'incomplete progress',
    {listing: {added: [], gone: [], progress: [1, 2], checkpoints: []}},
  ],
  [
    'a share that is not a number',
    {
      listing: {
        added: [
          {task: 'a.0.0.0', run: 1, checkpoint: '', percent: NaN, measure: 0},
        ],
        gone: [],
        progress: [],
        checkpoints: [],
      },
    },
  ],
];

for (const [title, fault] of MALFORMED) {
  test(`should end a stream with ${title} and serve other calls`, async t => {
    const owner = new EchoingOwner();
    const {server, address} = await startServer(owner);
    const link = links.openPool(address);
    const ends: string[] = [];
    const attachment = link.attach({
      onMessage: () => {},
      onEnd: reason => ends.push(reason),
    });
    attachment.send({...EMPTY_UPDATE, ...fault});
    await until(() => ends.length > 0 && owner.endReasons.length > 0);
    t.deepEqual(owner.updates, []);
    t.regex(owner.endReasons[0], /^Field /);
    t.is((await link.showWorkflow({workflow: 'a'})).state, 'running');
    link.close('the test has ended');
    await server.close('the test has ended');
  });
}

test('should keep serving after bytes that are not a message', async t => {
  const owner = new EchoingOwner();
  const {server, address} = await startServer(owner);
  const client = new PoolServiceClient(address, credentials.createInsecure());
  const raw = client.makeBidiStreamRequest(
    '/burdockmoor.PoolService/Attach',
    (bytes: Buffer) => bytes,
    (bytes: Buffer) => bytes,
  );
  const errors: Error[] = [];
  raw.on('error', error => errors.push(error));
  raw.on('data', () => {});
  raw.write(Buffer.from([0xff, 0xff, 0xff, 0xff, 0xff]));
  await until(() => errors.length > 0);
  const link = links.openPool(address);
  t.is((await link.countWaiting({queue: 'queue'})).waiting, 3);
  const explained = await link.explainPlacement({record: '{}'});
  t.deepEqual(explained, {owned: true, explanation: '{}'});
  t.is((await link.findOwner()).epoch, 7);
  link.close('the test has ended');
  client.close();
  await server.close('the test has ended');
});

test('should send the calls of entries through one stream', async t => {
  const owner = new EchoingOwner();
  const {server, address} = await startServer(owner);
  const link = links.openPool(address);
  const ids = Array.from({length: 50}, (_, index) => `workflow-${index}`);
  const replies = await Promise.all(
    ids.map(workflow => link.showWorkflow({workflow})),
  );
  t.true(replies.every(({state}) => state === 'running'));
  t.deepEqual(owner.shown, ids);
  link.close('the test has ended');
  await server.close('the test has ended');
});
