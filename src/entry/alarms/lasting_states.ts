/** Remembers what is so about named things, to tell when it begins and ends. */
export class LastingStates<State> {
  private readonly states = new Map<string, State>();

  /** Takes in the state of one thing; tells the one before and if it differs. */
  change(
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
