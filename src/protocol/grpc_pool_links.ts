import type {ChannelCredentials, ServiceError} from '@grpc/grpc-js';
import {PoolServiceClient} from './generated/burdockmoor.js';
import type {
  CountWaitingReply,
  CountWaitingRequest,
  ExplainPlacementReply,
  ExplainPlacementRequest,
  FindOwnerReply,
  NoteWorkflowReply,
  NoteWorkflowRequest,
  ShowWorkflowReply,
  ShowWorkflowRequest,
  WorkerCommands,
  WorkerUpdate,
} from './generated/burdockmoor.js';
import {SystemClock} from '../utilities/clock.js';
import type {Clock} from '../utilities/clock.js';
import {Random} from '../utilities/random.js';
import {PoolMethods} from './call_methods.js';
import type {CallMethod} from './call_methods.js';
import {CallStream} from './call_stream.js';
import {createCallStreamSource} from './call_stream_source.js';
import {GrpcChannel} from './grpc_channel.js';
import type {
  Attachment,
  AttachmentListener,
  PoolLink,
  PoolLinkFactory,
} from './pool_links.js';
import {channelCredentials} from './transport_security.js';
import type {TransportSecurityFiles} from './transport_security.js';

interface LinkOptions {
  readonly credentials: ChannelCredentials;
  readonly clock: Clock;
  readonly random: Random;
}

/** A quarter of the shortest caller deadline, so other entries can be tried. */
const CALL_DEADLINE_MILLIS = 700;

/** Calls to an entry's PoolService; frequent calls go through a stream. */
class GrpcPoolLink implements PoolLink {
  private readonly channel: GrpcChannel<PoolServiceClient>;
  private readonly stream: CallStream;

  constructor(address: string, {credentials, clock, random}: LinkOptions) {
    this.channel = new GrpcChannel(PoolServiceClient, address, credentials);
    const source = createCallStreamSource(this.channel);
    this.stream = new CallStream({source, clock, random});
  }

  attach(
    listener: AttachmentListener<WorkerCommands>,
  ): Attachment<WorkerUpdate> {
    const stream = this.channel.client.attach();
    let endReason = 'the entry ended the stream';
    let ended = false;
    const end = (): void => {
      if (ended) return;
      ended = true;
      listener.onEnd(endReason);
    };
    stream.on('data', (commands: WorkerCommands) => {
      if (!ended) listener.onMessage(commands);
    });
    stream.on('error', (error: ServiceError) => {
      endReason = error.details || error.message;
      end();
    });
    stream.on('end', end);
    return {
      send: update => {
        if (ended || stream.writableNeedDrain) return false;
        stream.write(update);
        return true;
      },
      close: closeReason => {
        endReason = closeReason;
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
    return this.callOwner(PoolMethods.NOTE_WORKFLOW, request);
  }

  showWorkflow(request: ShowWorkflowRequest): Promise<ShowWorkflowReply> {
    return this.callOwner(PoolMethods.SHOW_WORKFLOW, request);
  }

  countWaiting(request: CountWaitingRequest): Promise<CountWaitingReply> {
    return this.callOwner(PoolMethods.COUNT_WAITING, request);
  }

  explainPlacement(
    request: ExplainPlacementRequest,
  ): Promise<ExplainPlacementReply> {
    return this.callOwner(PoolMethods.EXPLAIN_PLACEMENT, request);
  }

  close(reason: string): void {
    this.stream.close(reason);
    this.channel.close();
  }

  private callOwner<Request, Reply>(
    method: CallMethod<Request, Reply>,
    request: Request,
  ): Promise<Reply> {
    return this.stream.call(method, request, CALL_DEADLINE_MILLIS);
  }
}

export interface GrpcPoolLinkFactoryOptions {
  readonly security?: TransportSecurityFiles;
  readonly clock?: Clock;
  /** Source of jitter for reopening streams. */
  readonly random?: Random;
}

/** Opens links to the PoolService of entries, over TLS if given its files. */
export class GrpcPoolLinkFactory implements PoolLinkFactory {
  private readonly options: LinkOptions;

  constructor(options: GrpcPoolLinkFactoryOptions = {}) {
    const {
      security,
      clock = new SystemClock(),
      random = new Random(Date.now()),
    } = options;
    this.options = {credentials: channelCredentials(security), clock, random};
  }

  openPool(address: string): PoolLink {
    return new GrpcPoolLink(address, this.options);
  }
}
