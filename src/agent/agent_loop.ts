import type {HeartbeatReply} from '../protocol/generated/burdockmoor.js';
import type {Clock, Timer} from '../utilities/clock.js';
import {EventSource} from '../utilities/event_source.js';

const TICK_MILLIS = 100;

/** What an agent reacts to. */
export type AgentEvent =
  | {readonly type: 'tick'; readonly now: number}
  | {
      readonly type: 'heartbeatReply';
      readonly reply: HeartbeatReply;
      /** The agent's time at which the heartbeat was sent. */
      readonly sentAt: number;
    };

/** The one loop of an agent: its ticks and the entries' replies, in turn. */
export class AgentLoop {
  private readonly events = new EventSource<AgentEvent>();
  private timer: Timer | undefined;

  constructor(private readonly clock: Clock) {}

  /** Passes each event to the action, one at a time, until `stop`. */
  start(action: (event: AgentEvent) => void): Promise<void> {
    const ended = this.events.stream.observe(action);
    this.tick();
    return ended;
  }

  takeReply(reply: HeartbeatReply, sentAt: number): void {
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
