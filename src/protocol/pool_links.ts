/** Calls about the pool of workers, between agents and entries. */
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

/** One end of the stream between an agent and the owner of the pool. */
export interface Attachment<Message> {
  /** False when the peer reads too slowly: the message was not sent. */
  send(message: Message): boolean;
  close(reason: string): void;
}

export interface AttachmentListener<Message> {
  onMessage(message: Message): void;
  /** Called once; nothing more comes or goes. */
  onEnd(reason: string): void;
}

/**
 * Calls to one entry. They reject with a LinkError when no reply came in time.
 */
export interface PoolLink {
  attach(
    listener: AttachmentListener<WorkerCommands>,
  ): Attachment<WorkerUpdate>;
  findOwner(): Promise<FindOwnerReply>;
  noteWorkflow(request: NoteWorkflowRequest): Promise<NoteWorkflowReply>;
  showWorkflow(request: ShowWorkflowRequest): Promise<ShowWorkflowReply>;
  countWaiting(request: CountWaitingRequest): Promise<CountWaitingReply>;
  close(reason: string): void;
}

/** What an entry answers. */
export interface PoolHandlers {
  attach(
    attachment: Attachment<WorkerCommands>,
  ): AttachmentListener<WorkerUpdate>;
  findOwner(): Promise<FindOwnerReply>;
  noteWorkflow(request: NoteWorkflowRequest): Promise<NoteWorkflowReply>;
  showWorkflow(request: ShowWorkflowRequest): Promise<ShowWorkflowReply>;
  countWaiting(request: CountWaitingRequest): Promise<CountWaitingReply>;
}

/** Opens links by HOST:PORT; the caller owns and closes what it opened. */
export interface PoolLinkFactory {
  openPool(address: string): PoolLink;
}
