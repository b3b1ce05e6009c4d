import {readFileSync} from 'node:fs';
import {ChannelCredentials, ServerCredentials} from '@grpc/grpc-js';

/** PEM files for mutual TLS. */
export interface TransportSecurityFiles {
  readonly certificate: string;
  readonly key: string;
  /** Certificate of the authority that signed the peers' certificates. */
  readonly authority: string;
}

/** Credentials for calls to other processes; plain TCP without files. */
export function channelCredentials(
  files?: TransportSecurityFiles,
): ChannelCredentials {
  if (!files) return ChannelCredentials.createInsecure();
  return ChannelCredentials.createSsl(
    readFileSync(files.authority),
    readFileSync(files.key),
    readFileSync(files.certificate),
  );
}

/** Credentials of a listening process; plain TCP without files. */
export function serverCredentials(
  files?: TransportSecurityFiles,
): ServerCredentials {
  if (!files) return ServerCredentials.createInsecure();
  const pair = {
    private_key: readFileSync(files.key),
    cert_chain: readFileSync(files.certificate),
  };
  return ServerCredentials.createSsl(
    readFileSync(files.authority),
    [pair],
    true,
  );
}
