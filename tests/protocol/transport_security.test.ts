import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {generate} from 'selfsigned';
import {SilentLogger} from '../../src/observability/logger.js';
import {createProcessServer} from '../../src/daemon/process_components.js';
import {HeartbeatRequest} from '../../src/protocol/generated/burdockmoor.js';
import {GrpcLinkFactory} from '../../src/protocol/grpc_links.js';
import {LinkError} from '../../src/protocol/link_error.js';
import type {TransportSecurityFiles} from '../../src/protocol/transport_security.js';
import {startEntry} from '../fuzz/entry_fixture.js';

const HOST = '127.0.0.1';
const REASON = 'the test ends';
const EXCHANGE_REQUEST = {
  entryId: 'entry-2',
  settingsRevision: 0,
  settingsAgeMillis: 0,
  sender: undefined,
};
const SIZE = {milliprocessors: 1, memoryMegabytes: 1, accelerators: 0};
const HEARTBEAT_MILLIS = 1_000;
const HEARTBEAT = {
  ...HeartbeatRequest.decode(new Uint8Array()),
  ...{agentId: 'vm-1', incarnation: 'run-1', failureDomain: 'tema'},
  ...{address: `${HOST}:1`, capacity: SIZE, committed: SIZE},
};

/** A certificate authority for processes on this host. */
class Authority {
  private constructor(
    private readonly folder: string,
    private readonly pair: {readonly cert: string; readonly key: string},
  ) {}

  static async create(t: ExecutionContext): Promise<Authority> {
    const folder = mkdtempSync(join(tmpdir(), 'authority-'));
    t.teardown(() => rmSync(folder, {recursive: true}));
    const {cert, private: key} = await generate(
      [{name: 'commonName', value: 'authority'}],
      {
        keyType: 'ec',
        algorithm: 'sha256',
        extensions: [{name: 'basicConstraints', cA: true, critical: true}],
      },
    );
    return new Authority(folder, {cert, key});
  }

  async sign(processId: string): Promise<TransportSecurityFiles> {
    const {cert, private: key} = await generate(
      [{name: 'commonName', value: processId}],
      {
        keyType: 'ec',
        algorithm: 'sha256',
        ca: this.pair,
        extensions: [{name: 'subjectAltName', altNames: [{type: 7, ip: HOST}]}],
      },
    );
    return {
      certificate: this.write(`${processId}.pem`, cert),
      key: this.write(`${processId}.key`, key),
      authority: this.write('authority.pem', this.pair.cert),
    };
  }

  private write(name: string, text: string): string {
    const path = join(this.folder, name);
    writeFileSync(path, text);
    return path;
  }
}

/** Starts an entry that requires certificates and returns its address. */
async function serveEntry(
  t: ExecutionContext,
  security: TransportSecurityFiles,
): Promise<string> {
  const entry = await startEntry();
  const server = createProcessServer(new SilentLogger(), {security});
  server.serveEntry(entry);
  const port = await server.listen(`${HOST}:0`);
  t.teardown(async () => {
    await entry.stop(REASON);
    await server.close(REASON);
    entry.dispose(REASON);
  });
  return `${HOST}:${port}`;
}

async function callEntry(
  t: ExecutionContext,
  address: string,
  security?: TransportSecurityFiles,
): Promise<string> {
  const link = new GrpcLinkFactory({security}).openEntry(address);
  t.teardown(() => link.close(REASON));
  const {entryId} = await link.exchangePeers(EXCHANGE_REQUEST);
  const streamed = await link.heartbeat(HEARTBEAT, HEARTBEAT_MILLIS);
  t.is(streamed.entryId, entryId, 'over a stream');
  return entryId;
}

test('should accept a process with a certificate signed by the authority', async t => {
  const authority = await Authority.create(t);
  const address = await serveEntry(t, await authority.sign('entry-1'));
  t.is(await callEntry(t, address, await authority.sign('entry-2')), 'entry-1');
});

test('should refuse a process with a certificate of another authority', async t => {
  const authority = await Authority.create(t);
  const other = await Authority.create(t);
  const own = await authority.sign('entry-1');
  const address = await serveEntry(t, own);
  const signedByOther = await other.sign('entry-2');
  const signedByOtherTrustingEntry = {
    ...signedByOther,
    authority: own.authority,
  };
  const instanceOf = LinkError;
  await t.throwsAsync(() => callEntry(t, address, signedByOther), {instanceOf});
  await t.throwsAsync(() => callEntry(t, address, signedByOtherTrustingEntry), {
    instanceOf,
  });
});

test('should refuse a process without a certificate', async t => {
  const authority = await Authority.create(t);
  const address = await serveEntry(t, await authority.sign('entry-1'));
  await t.throwsAsync(() => callEntry(t, address), {instanceOf: LinkError});
});
