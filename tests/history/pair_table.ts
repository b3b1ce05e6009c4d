import type {FaultPair, PairRun} from './fault_pairs.js';
import {FAULTS} from './faults.js';

const PairMark = {
  NOT_RUN: ' ',
  NOT_COVERED: '-',
  COVERED: '.',
  VIOLATED: '!',
} as const;
type PairMark = (typeof PairMark)[keyof typeof PairMark];

/** Which pairs of faults were covered, and which violated a point. */
export class PairTable {
  private readonly marks = new Map<string, PairMark>();

  get violations(): number {
    return this.pairsWith(PairMark.VIOLATED).length;
  }

  note({first, second}: FaultPair, run: PairRun): void {
    const quiet = run.covered ? PairMark.COVERED : PairMark.NOT_COVERED;
    const violated = run.violations.length > 0;
    const mark = violated ? PairMark.VIOLATED : quiet;
    this.marks.set(`${first} > ${second}`, mark);
  }

  toJson(): object {
    return {
      pairs: this.marks.size,
      covered: this.pairsWith(PairMark.COVERED).length,
      notCovered: this.pairsWith(PairMark.NOT_COVERED),
      violated: this.pairsWith(PairMark.VIOLATED),
    };
  }

  /** A line a first fault, a column a second fault, in the same order. */
  render(): string {
    const names = Object.keys(FAULTS);
    const rows = names.map((first, index) => {
      const marks = names.map(
        second => this.marks.get(`${first} > ${second}`) ?? PairMark.NOT_RUN,
      );
      const number = String(index + 1).padStart(2);
      return `${number} ${first.padEnd(32)} ${marks.join('')}`;
    });
    const legend = '. covered, no violation; ! violation; - not covered';
    return [legend, ...rows, JSON.stringify(this.toJson())].join('\n');
  }

  private pairsWith(mark: PairMark): string[] {
    return [...this.marks].flatMap(([pair, own]) => (own === mark ? pair : []));
  }
}
