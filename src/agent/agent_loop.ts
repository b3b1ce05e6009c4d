import {mergeArray, Stream} from 'most';
import type {Disposable, Scheduler, Sink, Source} from 'most';
import type {HeartbeatReply} from '../protocol/generated/burdockmoor.js';
import type {Clock, Timer} from '../utilities/clock.js';

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

/** A source of a stream to which values are pushed. */
class PushSource<T> implements Source<T> {
  private sink: Sink<T> | undefined;
  private scheduler: Scheduler | undefined;

  run(sink: Sink<T>, scheduler: Scheduler): Disposable<T> {
    this.sink = sink;
    this.scheduler = scheduler;
    return {dispose: () => this.end()};
  }

  push(value: T): void {
    this.sink?.event(this.scheduler!.now(), value);
  }

  end(): void {
    const sink = this.sink;
    this.sink = undefined;
    sink?.end(this.scheduler!.now());
  }
}

/** Merges the agent's timer and the entries' replies into one stream. */
export class AgentLoop {
  private readonly ticks = new PushSource<AgentEvent>();
  private readonly replies = new PushSource<AgentEvent>();
  private timer: Timer | undefined;

  constructor(private readonly clock: Clock) {}

  /** Passes each event to the action, one at a time, until `stop`. */
  start(action: (event: AgentEvent) => void): Promise<void> {
    const events = mergeArray([
      new Stream(this.ticks),
      new Stream(this.replies),
    ]);
    const ended = events.observe(action);
    this.tick();
    return ended;
  }

  takeReply(reply: HeartbeatReply, sentAt: number): void {
    this.replies.push({type: 'heartbeatReply', reply, sentAt});
  }

  stop(): void {
    this.timer?.cancel();
    this.ticks.end();
    this.replies.end();
  }

  private tick(): void {
    this.timer = this.clock.schedule(TICK_MILLIS, () => this.tick());
    this.ticks.push({type: 'tick', now: this.clock.now()});
  }
}
