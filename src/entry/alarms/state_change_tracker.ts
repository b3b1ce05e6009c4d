/** Stores the states of named items, to detect when they change. */
export class StateChangeTracker<State> {
  private readonly states = new Map<string, State>();

  /** Sets an item's state; returns the state before and whether it changed. */
  update(
    name: string,
    state: State,
  ): {readonly changed: boolean; readonly before: State | undefined} {
    const before = this.states.get(name);
    this.states.set(name, state);
    return {changed: before !== state, before};
  }

  names(): string[] {
    return [...this.states.keys()];
  }

  forget(name: string): void {
    this.states.delete(name);
  }
}
