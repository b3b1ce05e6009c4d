import type {ChannelCredentials, ServiceError} from '@grpc/grpc-js';
import {PoolServiceClient} from './generated/burdockmoor.js';
import type {
  CountWaitingReply,
  CountWaitingRequest,
  FindOwnerReply,
  NoteWorkflowReply,
  NoteWorkflowRequest,
  ShowWorkflowReply,
  ShowWorkflowRequest,
  WorkerCommands,
  WorkerUpdate,
} from './generated/burdockmoor.js';
import {GrpcChannel} from './grpc_channel.js';
import type {
  Attachment,
  AttachmentListener,
  PoolLink,
  PoolLinkFactory,
} from './pool_links.js';
import {channelCredentials} from './transport_security.js';
import type {TransportSecurityFiles} from './transport_security.js';

/** A quarter of the shortest deadline of a caller, so that others can be asked. */
const CALL_DEADLINE_MILLIS = 700;

/** Calls to the pool's side of an entry over gRPC. */
class GrpcPoolLink implements PoolLink {
  private readonly channel: GrpcChannel<PoolServiceClient>;

  constructor(address: string, credentials: ChannelCredentials) {
    this.channel = new GrpcChannel(PoolServiceClient, address, credentials);
  }

  attach(
    listener: AttachmentListener<WorkerCommands>,
  ): Attachment<WorkerUpdate> {
    const stream = this.channel.client.attach();
    let reason = 'the entry ended the stream';
    let ended = false;
    const end = (): void => {
      if (ended) return;
      ended = true;
      listener.onEnd(reason);
    };
    stream.on('data', (commands: WorkerCommands) => {
      if (!ended) listener.onMessage(commands);
    });
    stream.on('error', (error: ServiceError) => {
      reason = error.details || error.message;
      end();
    });
    stream.on('end', end);
    return {
      send: update => {
        if (ended || stream.writableNeedDrain) return false;
        stream.write(update);
        return true;
      },
      close: why => {
        reason = why;
        stream.cancel();
        end();
      },
    };
  }

  findOwner(): Promise<FindOwnerReply> {
    return this.channel.call(
      'FindOwner',
      CALL_DEADLINE_MILLIS,
      (stub, ...rest) => stub.findOwner({}, ...rest),
    );
  }

  noteWorkflow(request: NoteWorkflowRequest): Promise<NoteWorkflowReply> {
    return this.channel.call(
      'NoteWorkflow',
      CALL_DEADLINE_MILLIS,
      (stub, ...rest) => stub.noteWorkflow(request, ...rest),
    );
  }

  showWorkflow(request: ShowWorkflowRequest): Promise<ShowWorkflowReply> {
    return this.channel.call(
      'ShowWorkflow',
      CALL_DEADLINE_MILLIS,
      (stub, ...rest) => stub.showWorkflow(request, ...rest),
    );
  }

  countWaiting(request: CountWaitingRequest): Promise<CountWaitingReply> {
    return this.channel.call(
      'CountWaiting',
      CALL_DEADLINE_MILLIS,
      (stub, ...rest) => stub.countWaiting(request, ...rest),
    );
  }

  close(): void {
    this.channel.close();
  }
}

/** Opens links to the pool's side of entries, over TLS when given its files. */
export class GrpcPoolLinkFactory implements PoolLinkFactory {
  private readonly credentials: ChannelCredentials;

  constructor(security?: TransportSecurityFiles) {
    this.credentials = channelCredentials(security);
  }

  openPool(address: string): PoolLink {
    return new GrpcPoolLink(address, this.credentials);
  }
}
