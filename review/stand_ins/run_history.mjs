/** All runs of tasks, as the executors saw them. */
export class RunHistory {
  runs = [];
  #notedEnds = [];

  begin(task, run, executor) {
    const record = {task, run, executor, from: performance.now(), to: Infinity};
    this.runs.push(record);
    return record;
  }

  end(record, how) {
    record.to = performance.now();
    record.how = how;
  }

  /** Records that LastSeen has reached an end. */
  note(task, run, how) {
    this.#notedEnds.push({task, run, how, at: performance.now()});
  }

  /** Runs that are active on the executor now. */
  activeOn(executor) {
    return this.runs.filter(
      run => run.executor === executor && run.to === Infinity,
    );
  }

  /** Describes how the rule TWICE was broken; undefined if it was kept. */
  describeTwice() {
    const [overlap] = this.overlaps();
    if (overlap) {
      const {left, right, millis} = overlap;
      return `TWICE: two runs of ${this.overlaps().length} tasks at the same time, such as ${left.task}: run ${left.run} on ${left.executor} and run ${right.run} on ${right.executor} for ${millis} ms`;
    }
    const [repetition] = this.repetitions();
    if (!repetition) return undefined;
    const {ended, again} = repetition;
    return `TWICE: ${ended.task} has ended done as run ${ended.run} on ${ended.executor}, its end is taken note of, and it began again as run ${again.run} on ${again.executor}`;
  }

  /** Pairs of runs of one task that were active at the same time. */
  overlaps() {
    const found = [];
    for (const [index, left] of this.runs.entries()) {
      for (const right of this.runs.slice(index + 1)) {
        if (left.task !== right.task) continue;
        const from = Math.max(left.from, right.from);
        const to = Math.min(left.to, right.to, performance.now());
        if (to > from) found.push({left, right, millis: Math.round(to - from)});
      }
    }
    return found;
  }

  /** Runs that began after a run of the task had ended `done`, which is noted. */
  repetitions() {
    const found = [];
    for (const {task, run, how} of this.#notedEnds) {
      if (how !== 'done') continue;
      const ended = this.runs.find(
        each => each.task === task && each.run === run && each.how === 'done',
      );
      const again = this.runs.find(
        each => each.task === task && each.from > ended.to,
      );
      if (again) found.push({ended, again});
    }
    return found;
  }
}
