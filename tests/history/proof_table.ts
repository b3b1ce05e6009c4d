import {ALL_CHECKERS} from './checkers/all_checkers.js';
import {FAULTS} from './faults.js';
import type {FleetRunResult} from './fleet_run.js';

/** Counts of one point under one fault. */
export interface ProofCell {
  readonly point: string;
  readonly fault: string;
  /** Runs in which the fault was really injected. */
  runs: number;
  violations: number;
}

const POINT_COLUMN = 24;

/** Counts runs and violations by point and fault. */
export class ProofTable {
  private readonly cells = new Map<string, ProofCell>();
  private runCount = 0;
  private violationCount = 0;

  constructor() {
    for (const fault of Object.keys(FAULTS)) {
      for (const {point} of ALL_CHECKERS) {
        this.cells.set(cellKey(point, fault), {
          point,
          fault,
          runs: 0,
          violations: 0,
        });
      }
    }
  }

  get violations(): number {
    return this.violationCount;
  }

  note(result: FleetRunResult): void {
    this.runCount++;
    this.violationCount += result.violations.length;
    const faults = new Set(result.injected.map(({fault}) => fault));
    for (const fault of faults) {
      for (const {point} of ALL_CHECKERS) {
        const cell = this.cells.get(cellKey(point, fault))!;
        cell.runs++;
        cell.violations += result.violations.filter(
          violation => violation.point === point,
        ).length;
      }
    }
  }

  notCovered(): string[] {
    const faults = new Set<string>();
    for (const cell of this.cells.values()) {
      if (cell.runs === 0) faults.add(cell.fault);
    }
    return [...faults];
  }

  toJson(): object {
    return {
      runs: this.runCount,
      violations: this.violationCount,
      notCovered: this.notCovered(),
      cells: [...this.cells.values()],
    };
  }

  /** A line a fault: its runs, and violations by point. */
  render(): string {
    const lines = [`${'fault'.padEnd(34)} runs  violations by point`];
    for (const fault of Object.keys(FAULTS)) {
      const cells = [...this.cells.values()].filter(
        cell => cell.fault === fault,
      );
      const broken = cells
        .filter(cell => cell.violations > 0)
        .map(cell => `${cell.point}: ${cell.violations}`);
      const runs = cells[0].runs;
      const verdict = runs === 0 ? 'not covered' : broken.join(', ') || 'none';
      lines.push(`${fault.padEnd(34)} ${String(runs).padStart(4)}  ${verdict}`);
    }
    lines.push(
      `${'all'.padEnd(POINT_COLUMN)} ${this.runCount} runs, ${this.violationCount} violations`,
    );
    return lines.join('\n');
  }
}

function cellKey(point: string, fault: string): string {
  return `${point}/${fault}`;
}
