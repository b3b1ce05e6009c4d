/** Methods whose calls go through a link's stream, with their numbers. */
import type {MethodDefinition} from '@grpc/grpc-js';
import {
  AgentServiceService,
  EntryServiceService,
  PoolServiceService,
} from './generated/burdockmoor.js';

/** A method as both ends of a stream identify it. */
export interface CallMethod<Request, Reply> {
  /** Never reused for another method of the service. */
  readonly number: number;
  readonly name: string;
  readonly codec: MethodDefinition<Request, Reply>;
}

function defineMethod<Request, Reply>(
  number: number,
  name: string,
  codec: MethodDefinition<Request, Reply>,
): CallMethod<Request, Reply> {
  return {number, name, codec};
}

/** Calls of an agent to an entry. */
export const EntryMethods = {
  HEARTBEAT: defineMethod(1, 'Heartbeat', EntryServiceService.heartbeat),
  REPORT_ATTEMPTS: defineMethod(
    2,
    'ReportAttempts',
    EntryServiceService.reportAttempts,
  ),
} as const;

/** Calls of an entry to an agent. */
export const AgentMethods = {
  START_ATTEMPTS: defineMethod(
    1,
    'StartAttempts',
    AgentServiceService.startAttempts,
  ),
  STOP_ATTEMPTS: defineMethod(
    2,
    'StopAttempts',
    AgentServiceService.stopAttempts,
  ),
  QUERY_ATTEMPTS: defineMethod(
    3,
    'QueryAttempts',
    AgentServiceService.queryAttempts,
  ),
} as const;

/** Calls of an entry to the owner of the pool. */
export const PoolMethods = {
  NOTE_WORKFLOW: defineMethod(
    1,
    'NoteWorkflow',
    PoolServiceService.noteWorkflow,
  ),
  SHOW_WORKFLOW: defineMethod(
    2,
    'ShowWorkflow',
    PoolServiceService.showWorkflow,
  ),
  COUNT_WAITING: defineMethod(
    3,
    'CountWaiting',
    PoolServiceService.countWaiting,
  ),
  EXPLAIN_PLACEMENT: defineMethod(
    4,
    'ExplainPlacement',
    PoolServiceService.explainPlacement,
  ),
} as const;
