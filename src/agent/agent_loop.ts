import type {HeartbeatReply} from '../protocol/generated/burdockmoor.js';
import type {Clock, Timer} from '../utilities/clock.js';
import {EventSource} from '../utilities/event_source.js';

const TICK_MILLIS = 100;

/** An event that an agent handles. */
export type AgentEvent =
  | {readonly type: 'tick'; readonly now: number}
  | {
      readonly type: 'heartbeatReply';
      readonly reply: HeartbeatReply;
      /** When the heartbeat was sent, by the agent's clock. */
      readonly sentAt: number;
    };

/** The event loop of an agent: delivers ticks and the entries' replies. */
export class AgentLoop {
  private readonly events = new EventSource<AgentEvent>();
  private timer: Timer | undefined;

  constructor(private readonly clock: Clock) {}

  /** Passes events to the handler, one at a time, until `stop` is called. */
  start(handler: (event: AgentEvent) => void): Promise<void> {
    const ended = this.events.stream.observe(handler);
    this.tick();
    return ended;
  }

  receiveReply(reply: HeartbeatReply, sentAt: number): void {
    this.events.emit({type: 'heartbeatReply', reply, sentAt});
  }

  stop(): void {
    this.timer?.cancel();
    this.events.end();
  }

  private tick(): void {
    this.timer = this.clock.schedule(TICK_MILLIS, () => this.tick());
    this.events.emit({type: 'tick', now: this.clock.now()});
  }
}
