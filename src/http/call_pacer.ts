/** A connection whose input is processed in turns. */
export interface PacedConnection {
  /** Whether it has input that may be processed now. */
  readonly canProceed: boolean;
  /** Whether its next input may begin a call, which needs room. */
  readonly needsRoom: boolean;
  /** Processes its next piece of input. */
  proceed(): void;
}

/** Other work of the process runs after turns have taken this long. */
const SLICE_MILLIS = 5;

/**
 * Lets connections process their input in turns, a piece at a time, so that a
 * connection with much input does not delay the others. Calls begin only while
 * the calls of all connections together are within a limit; until then their
 * input is left where it is.
 */
export class CallPacer {
  private readonly ready = new Set<PacedConnection>();
  private readonly waiting = new Set<PacedConnection>();
  private heldBytes = 0;
  private isRunning = false;
  private isSliceScheduled = false;
  private sliceEndsAt: number | undefined;

  constructor(private readonly limitBytes: number) {}

  /** Whether connections wait until other calls have ended. */
  get isFull(): boolean {
    return this.waiting.size > 0;
  }

  /** Gives the connection a turn once it is the next one. */
  enqueue(connection: PacedConnection): void {
    if (this.waiting.has(connection)) return;
    this.ready.add(connection);
    this.run();
  }

  remove(connection: PacedConnection): void {
    this.ready.delete(connection);
    this.waiting.delete(connection);
  }

  /** Counts a call that has begun. */
  hold(bytes: number): void {
    this.heldBytes += bytes;
  }

  /** Counts a call that has ended. */
  release(bytes: number): void {
    this.heldBytes -= bytes;
    if (this.waiting.size === 0 || !this.hasRoom) return;
    for (const connection of this.waiting) this.ready.add(connection);
    this.waiting.clear();
    this.scheduleSlice();
  }

  private get hasRoom(): boolean {
    return this.heldBytes < this.limitBytes;
  }

  private run(): void {
    if (this.isRunning) return;
    const endsAt = this.sliceEnd();
    this.isRunning = true;
    try {
      // Connections that are added meanwhile have their turn in the same loop.
      for (const connection of this.ready) {
        if (performance.now() > endsAt) return;
        this.ready.delete(connection);
        this.giveTurn(connection);
      }
    } finally {
      this.isRunning = false;
    }
  }

  /**
   * Returns when the turns of this iteration of the event loop have to end. The
   * next slice begins after other events were processed: turns follow each
   * other from callbacks as well, without a return to the event loop.
   */
  private sliceEnd(): number {
    this.sliceEndsAt ??= performance.now() + SLICE_MILLIS;
    this.scheduleSlice();
    return this.sliceEndsAt;
  }

  private scheduleSlice(): void {
    if (this.isSliceScheduled) return;
    this.isSliceScheduled = true;
    setImmediate(() => {
      this.isSliceScheduled = false;
      this.sliceEndsAt = undefined;
      if (this.ready.size > 0) this.run();
    });
  }

  private giveTurn(connection: PacedConnection): void {
    if (!connection.canProceed) return;
    if (connection.needsRoom && !this.hasRoom) {
      this.waiting.add(connection);
      return;
    }
    connection.proceed();
    if (connection.canProceed) this.ready.add(connection);
  }
}
