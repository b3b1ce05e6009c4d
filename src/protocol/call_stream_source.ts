import type {Client} from '@grpc/grpc-js';
import type {StreamSource} from './call_stream.js';
import type {GrpcChannel} from './grpc_channel.js';
import type {ClientBatchStream} from './stream_session.js';

/** A generated client whose service has a StreamCalls method. */
interface StreamingClient extends Client {
  streamCalls(): ClientBatchStream;
}

/** Creates a source that opens a link's streams on its channel. */
export function createCallStreamSource<Stub extends StreamingClient>(
  channel: GrpcChannel<Stub>,
): StreamSource {
  return {
    address: channel.address,
    openStream: () => channel.client.streamCalls(),
    replaceConnection: () => channel.replaceConnection(),
  };
}
