/** Writes what was sent, answered and run to the case's record.txt. */
import {writeFileSync} from 'node:fs';

export class Recorder {
  #lines = [];
  #startedAt = performance.now();

  /** @param {string} file */
  constructor(file) {
    this.file = file;
  }

  /** Seconds since the start of the script. */
  get now() {
    return (performance.now() - this.#startedAt) / 1_000;
  }

  record(event, fields = {}) {
    const time = this.now.toFixed(3).padStart(8);
    const line = `${time} ${event} ${JSON.stringify(fields)}`;
    this.#lines.push(line);
  }

  /** Records a line and prints it. */
  announce(text) {
    this.record('note', {text});
    console.log(`${this.now.toFixed(3)} ${text}`);
  }

  save() {
    writeFileSync(this.file, this.#lines.join('\n') + '\n');
  }
}
