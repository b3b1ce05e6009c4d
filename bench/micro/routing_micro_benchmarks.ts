import {ServiceRouter} from '../../src/decisions/routing/service_router.js';
import {Random} from '../../src/utilities/random.js';
import type {MicroBenchmark} from '../scenario.js';

const TARGET_MICROS = 20;
const DEADLINE_MILLIS = 1000;

export const routingMicroBenchmarks: readonly MicroBenchmark[] = [
  routingOver(11),
  routingOver(600),
];

/** One request: choice, answer and its report. */
function routingOver(upstreams: number): MicroBenchmark {
  return {
    name: `routing-decision-${upstreams}`,
    description: `choose, ended and applyReport over ${upstreams} upstreams`,
    targetMicros: TARGET_MICROS,
    prepare(seed) {
      const random = new Random(seed);
      const router = new ServiceRouter({ownFailureDomain: 'domain0', random});
      for (let index = 0; index < upstreams; index++) {
        router.applyReport(reportOf(index, random), 0);
      }
      let now = 0;
      return () => {
        now += 0.25;
        const request = {service: 'orders', deadlineMillis: DEADLINE_MILLIS};
        const choice = router.choose(request, now);
        if (choice.kind === 'none') throw new Error('No upstream was chosen.');
        const index = Number(choice.agentId);
        const end = {outcome: 'answered', answerMillis: 20} as const;
        router.ended(choice.agentId, 'orders', end, now);
        router.applyReport(reportOf(index, random), now);
      };
    },
  };
}

function reportOf(index: number, random: Random) {
  return {
    agentId: String(index),
    service: 'orders',
    failureDomain: `domain${index % 3}`,
    slots: 8,
    inFlight: random.below(9),
    queued: 0,
    serviceMillis: 20,
    tailMillis: 0,
    draining: false,
    unavailable: false,
  };
}
