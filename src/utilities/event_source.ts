import {Stream} from 'most';
import type {Scheduler, Sink} from 'most';
import type {Clock, Timer} from './clock.js';

/** A stream of events that are emitted by calls and delivered synchronously. */
export class EventSource<Event> {
  readonly stream: Stream<Event>;
  private readonly sinks = new Set<Sink<Event>>();
  private scheduler: Scheduler | undefined;

  constructor() {
    this.stream = new Stream<Event>({
      run: (sink, scheduler) => {
        this.scheduler = scheduler;
        this.sinks.add(sink);
        return {
          dispose: () => {
            this.sinks.delete(sink);
          },
        };
      },
    });
  }

  emit(event: Event): void {
    const time = this.scheduler?.now() ?? 0;
    for (const sink of this.sinks) sink.event(time, event);
  }

  /** Ends the stream for all observers. */
  end(): void {
    const time = this.scheduler?.now() ?? 0;
    for (const sink of this.sinks) sink.end(time);
    this.sinks.clear();
  }
}

/** Emits the same event once per period. */
export class Ticker<Event> {
  private readonly source = new EventSource<Event>();
  private timer: Timer | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly periodMillis: number,
    private readonly event: Event,
  ) {}

  get stream(): Stream<Event> {
    return this.source.stream;
  }

  start(): void {
    this.timer = this.clock.schedule(this.periodMillis, () => {
      this.start();
      this.source.emit(this.event);
    });
  }

  dispose(): void {
    this.timer?.cancel();
    this.source.end();
  }
}
