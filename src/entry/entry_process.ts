import {Events} from '../observability/events.js';
import type {
  ExchangePeersReply,
  ExchangePeersRequest,
  ForwardCallReply,
  ForwardCallRequest,
  HeartbeatReply,
  HeartbeatRequest,
  ReportAttemptsReply,
  ReportAttemptsRequest,
} from '../protocol/generated/burdockmoor.js';
import type {EntryHandlers} from '../protocol/links.js';
import {EntryApi} from './entry_api.js';
import {EntryLoop} from './entry_loop.js';
import {createEntryParts} from './entry_parts.js';
import type {EntryParts} from './entry_parts.js';
import type {EntryProcessOptions} from './entry_process_options.js';
import {answerOfError} from './http/api_types.js';
import type {ApiAnswer, ApiCall} from './http/api_types.js';
import {apiCallOf, forwardReplyOf} from './http/forwarded_calls.js';
import {dumpEntry} from './queries/entry_dump.js';

/**
 * One entry: answers callers, operators, agents and other entries. All it
 * holds can be rebuilt from the store and the agents.
 */
export class EntryProcess implements EntryHandlers {
  private readonly parts: EntryParts;
  private readonly api: EntryApi;
  private readonly loop: EntryLoop;
  private draining = false;

  constructor(private readonly options: EntryProcessOptions) {
    this.parts = createEntryParts(options);
    this.api = new EntryApi(options, this.parts, () => this.draining);
    this.loop = new EntryLoop(this.parts, options.clock, options.logger);
  }

  /** Begins to work; agents and callers may come before it has the store. */
  start(): Promise<void> {
    return this.loop.start();
  }

  /** Whether all agents that are there have probably been heard. */
  knowsAgents(): boolean {
    const {agents, settings} = this.parts;
    const unchanged = agents.unchangedMillis(this.options.clock.now());
    return unchanged > settings.fleet.heartbeatMillis;
  }

  /** From now on the balancer is told to send callers elsewhere. */
  drain(): void {
    this.draining = true;
  }

  /** Graceful shutdown: hands over the shards, then leaves the roster. */
  async stop(reason: string): Promise<void> {
    const {membership, shards} = this.parts;
    this.draining = true;
    this.options.logger.event(Events.PROCESS_STOPPING, {reason});
    await membership.announceStop();
    await shards.stop();
    this.loop.dispose();
    await membership.leave();
  }

  /** Closes links once nothing is served any more. */
  dispose(reason: string): void {
    this.parts.access.close(reason);
    this.parts.peers.close(reason);
    this.parts.agents.close(reason);
  }

  /** Answers a call of the HTTP API; never rejects. */
  call(call: ApiCall): Promise<ApiAnswer> {
    return this.api.call(call);
  }

  async heartbeat(request: HeartbeatRequest): Promise<HeartbeatReply> {
    return this.parts.heartbeats.answer(request);
  }

  reportAttempts(request: ReportAttemptsRequest): Promise<ReportAttemptsReply> {
    return this.parts.recorder.record(request);
  }

  async exchangePeers(
    request: ExchangePeersRequest,
  ): Promise<ExchangePeersReply> {
    return this.parts.peers.answer(request);
  }

  /** Answers a call of the HTTP API that another entry has passed on. */
  async forwardCall(request: ForwardCallRequest): Promise<ForwardCallReply> {
    const answer = await this.callForwarded(request).catch(answerOfError);
    return forwardReplyOf(answer);
  }

  /** The state of this process, for operators. */
  dumpState(): unknown {
    return dumpEntry(this.options, this.parts);
  }

  /** Rejects with an ApiError when the path is badly encoded. */
  private async callForwarded(request: ForwardCallRequest): Promise<ApiAnswer> {
    return this.call(apiCallOf(request));
  }
}
