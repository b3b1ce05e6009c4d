/**
 * Lets the members of a gang on several executors work together, as PROTOCOL.md
 * says: from the moment when all of one run are present until one of them ends.
 */
const GANG_WAIT_MILLIS = 3_000;

export class Gang {
  runs = new Map();

  constructor(executors, count) {
    this.count = count;
    for (const executor of executors) {
      executor.onStart = run => this.join(run, executor);
      executor.onEnd = run => this.leave(run);
    }
  }

  keyOf({task, run}) {
    return `${task.split('.').slice(0, 3).join('.')}#${run}`;
  }

  join(run, executor) {
    const key = this.keyOf(run);
    const members = this.runs.get(key) ?? new Map();
    this.runs.set(key, members.set(run.key, {run, executor}));
    run.isWorking = false;
    if (members.size === this.count) {
      for (const each of members.values()) each.run.isWorking = true;
      return;
    }
    setTimeout(() => {
      if (!run.isWorking) executor.end(run.key, 'alone');
    }, GANG_WAIT_MILLIS);
  }

  /** The others end with the first one, done if it is done. */
  leave(run, how = 'broken') {
    const members = this.runs.get(this.keyOf(run));
    if (!members?.delete(run.key)) return;
    const isDone = run.worked >= run.behavior.ms;
    for (const {run: other, executor} of [...members.values()]) {
      members.delete(other.key);
      executor.end(other.key, isDone ? 'done' : how);
    }
  }

  /** Called for each run that is lost with its executor. */
  lose(runs) {
    for (const run of runs) this.leave(run);
  }
}
