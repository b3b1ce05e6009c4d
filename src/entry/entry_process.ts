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
import {createEntryComponents} from './entry_components.js';
import type {EntryComponents} from './entry_components.js';
import type {EntryProcessOptions} from './entry_process_options.js';
import {responseOfError} from './http/api_types.js';
import type {ApiResponse, ApiCall} from './http/api_types.js';
import {apiCallOf, forwardReplyOf} from './http/forwarded_calls.js';
import {dumpEntry} from './queries/entry_dump.js';

/**
 * One entry: answers callers, operators, agents and other entries. All of its
 * state can be rebuilt from the store and the agents.
 */
export class EntryProcess implements EntryHandlers {
  private readonly components: EntryComponents;
  private readonly api: EntryApi;
  private readonly loop: EntryLoop;
  private draining = false;

  constructor(private readonly options: EntryProcessOptions) {
    this.components = createEntryComponents(options);
    this.api = new EntryApi(options, this.components, () => this.draining);
    this.loop = new EntryLoop(this.components, options.clock, options.logger);
  }

  /** Starts the entry; it may get requests before it has reached the store. */
  start(): Promise<void> {
    return this.loop.start();
  }

  /** True if all running agents have probably sent a heartbeat here. */
  knowsAgents(): boolean {
    const {agents, settings} = this.components;
    const unchanged = agents.millisSinceNewAgent(this.options.clock.now());
    return unchanged > settings.fleet.heartbeatMillis;
  }

  /** Makes the health check tell the load balancer to use other entries. */
  drain(): void {
    this.draining = true;
  }

  /** Shuts down gracefully: hands over the shards, then unregisters. */
  async stop(reason: string): Promise<void> {
    const {membership, shards} = this.components;
    this.draining = true;
    this.options.logger.event(Events.PROCESS_STOPPING, {reason});
    await membership.announceStop();
    await shards.stop();
    this.loop.dispose();
    await membership.leave();
  }

  /** Closes all links; called when no requests are served any more. */
  dispose(reason: string): void {
    this.components.access.close(reason);
    this.components.peers.close(reason);
    this.components.agents.close(reason);
  }

  /** Answers a call of the HTTP API; never rejects. */
  call(call: ApiCall): Promise<ApiResponse> {
    return this.api.call(call);
  }

  async heartbeat(request: HeartbeatRequest): Promise<HeartbeatReply> {
    return this.components.heartbeats.respond(request);
  }

  reportAttempts(request: ReportAttemptsRequest): Promise<ReportAttemptsReply> {
    return this.components.recorder.record(request);
  }

  async exchangePeers(
    request: ExchangePeersRequest,
  ): Promise<ExchangePeersReply> {
    return this.components.peers.answer(request);
  }

  /** Answers a call of the HTTP API that another entry has forwarded. */
  async forwardCall(request: ForwardCallRequest): Promise<ForwardCallReply> {
    const answer = await this.callForwarded(request).catch(responseOfError);
    return forwardReplyOf(answer);
  }

  /** The state of this process, for operators. */
  dumpState(): unknown {
    return dumpEntry(this.options, this.components);
  }

  /** Rejects with an ApiError when the path has an invalid encoding. */
  private async callForwarded(
    request: ForwardCallRequest,
  ): Promise<ApiResponse> {
    return this.call(apiCallOf(request));
  }
}
