import {NO_RESOURCES} from '../../src/utilities/resources.js';
import type {Resources} from '../../src/utilities/resources.js';

const REPORT_LAG_SECONDS = 5;

interface VmSample {
  readonly used: Resources;
  readonly tailMillis: number;
}

const NO_SAMPLE: VmSample = {used: NO_RESOURCES, tailMillis: 0};

/** Samples of a VM, one a second, as reports show them some seconds later. */
export class LaggedSamples {
  private readonly samples: VmSample[] = [];

  get reported(): VmSample {
    return this.samples.at(-1 - REPORT_LAG_SECONDS) ?? NO_SAMPLE;
  }

  add(sample: VmSample): void {
    this.samples.push(sample);
  }
}
