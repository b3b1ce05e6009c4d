/** Calls about the pool of workers, from agents and entries to entries. */
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

/** One end of the stream between an agent and the owner of the pool. */
export interface Attachment<Message> {
  /** Returns false if not sent: the stream ended or its buffer is full. */
  send(message: Message): boolean;
  close(reason: string): void;
}

export interface AttachmentListener<Message> {
  onMessage(message: Message): void;
  /** Called once; no message is sent or received afterwards. */
  onEnd(reason: string): void;
}

/**
 * Calls to one entry. They reject with a LinkError if no reply arrives in time.
 */
export interface PoolLink {
  attach(
    listener: AttachmentListener<WorkerCommands>,
  ): Attachment<WorkerUpdate>;
  findOwner(): Promise<FindOwnerReply>;
  noteWorkflow(request: NoteWorkflowRequest): Promise<NoteWorkflowReply>;
  showWorkflow(request: ShowWorkflowRequest): Promise<ShowWorkflowReply>;
  countWaiting(request: CountWaitingRequest): Promise<CountWaitingReply>;
  explainPlacement(
    request: ExplainPlacementRequest,
  ): Promise<ExplainPlacementReply>;
  close(reason: string): void;
}

/** Handlers of the pool calls at an entry. */
export interface PoolHandlers {
  attach(
    attachment: Attachment<WorkerCommands>,
  ): AttachmentListener<WorkerUpdate>;
  findOwner(): Promise<FindOwnerReply>;
  noteWorkflow(request: NoteWorkflowRequest): Promise<NoteWorkflowReply>;
  showWorkflow(request: ShowWorkflowRequest): Promise<ShowWorkflowReply>;
  countWaiting(request: CountWaitingRequest): Promise<CountWaitingReply>;
  explainPlacement(
    request: ExplainPlacementRequest,
  ): Promise<ExplainPlacementReply>;
}

/** Opens links by HOST:PORT; the caller must close them. */
export interface PoolLinkFactory {
  openPool(address: string): PoolLink;
}
