import test from 'ava';
import {ServiceRouter} from '../../src/decisions/routing/service_router.js';
import type {ServiceRouterOptions} from '../../src/decisions/routing/service_router.js';
import type {UpstreamReport} from '../../src/decisions/routing/upstream_report.js';
import {Random} from '../../src/utilities/random.js';

const DEADLINE_MILLIS = 1000;

function report(
  agentId: string,
  change: Partial<UpstreamReport> = {},
): UpstreamReport {
  return {
    agentId,
    service: 'orders',
    failureDomain: 'Gabes',
    slots: 8,
    inFlight: 0,
    queued: 0,
    serviceMillis: 20,
    tailMillis: 0,
    draining: false,
    unavailable: false,
    ...change,
  };
}

function routerOf(
  reports: UpstreamReport[],
  options: Partial<ServiceRouterOptions> = {},
): ServiceRouter {
  const router = new ServiceRouter({
    ownFailureDomain: 'Gabes',
    random: new Random(1),
    ...options,
  });
  for (const each of reports) router.applyReport(each, 0);
  return router;
}

function choose(router: ServiceRouter, now = 0, excluded?: Set<string>) {
  const request = {
    service: 'orders',
    deadlineMillis: DEADLINE_MILLIS,
    excluded,
  };
  const choice = router.choose(request, now);
  return choice.kind === 'chosen' ? choice.agentId : choice.code.name;
}

/** Counts the choices of each upstream while all requests succeed. */
function countChoices(router: ServiceRouter, requests: number, now: number) {
  const counts = new Map<string, number>();
  for (let request = 0; request < requests; request++) {
    const agentId = choose(router, now);
    counts.set(agentId, (counts.get(agentId) ?? 0) + 1);
    const end = {outcome: 'answered', answerMillis: 20} as const;
    router.ended(agentId, 'orders', end, now);
  }
  return counts;
}

function failTimes(
  router: ServiceRouter,
  agentId: string,
  times: number,
  now: number,
): void {
  for (let time = 0; time < times; time++) {
    const end = {outcome: 'unknown', answerMillis: 1000} as const;
    router.ended(agentId, 'orders', end, now);
  }
}

test('should prefer its own failure domain until another is faster', t => {
  const router = routerOf([
    report('near'),
    report('far', {failureDomain: 'Mahres'}),
  ]);
  t.is(choose(router), 'near');
  router.applyReport(report('near', {inFlight: 8, queued: 8}), 0);
  t.is(choose(router), 'far');
});

test('should choose a busy fast upstream over an idle slow one', t => {
  const router = routerOf([
    report('slow', {serviceMillis: 80}),
    report('fast', {inFlight: 8, queued: 2}),
  ]);
  t.is(choose(router), 'fast');
});

test('should give no new work to a draining upstream at once', t => {
  const router = routerOf([report('a'), report('b', {inFlight: 8, queued: 9})]);
  router.applyReport(report('a', {draining: true}), 10);
  t.is(choose(router, 10), 'b');
  router.applyReport(report('b', {draining: true}), 10);
  t.is(choose(router, 10), 'NO_UPSTREAM');
});

test('should send a retry to an agent that was not tried', t => {
  const router = routerOf([report('a'), report('b', {inFlight: 8, queued: 9})]);
  t.is(choose(router, 0, new Set(['a'])), 'b');
  t.is(choose(router, 0, new Set(['a', 'b'])), 'NO_UPSTREAM');
});

test('should eject a failing upstream and bring it back by a probe', t => {
  const router = routerOf(['a', 'b', 'c', 'd'].map(id => report(id)));
  failTimes(router, 'a', 3, 10);
  t.is(countChoices(router, 100, 20).get('a'), undefined);
  t.is(choose(router, 1500), 'a');
  t.not(choose(router, 1500), 'a');
  const end = {outcome: 'answered', answerMillis: 20} as const;
  router.ended('a', 'orders', end, 1520);
  const early = countChoices(router, 400, 1550).get('a') ?? 0;
  const late = countChoices(router, 400, 9000).get('a') ?? 0;
  t.true(early < late, `${early} early, ${late} late`);
  t.true(late > 50);
});

test('should limit the share of ejected upstreams when most of them fail', t => {
  const router = routerOf(['a', 'b', 'c', 'd'].map(id => report(id)));
  for (const id of ['a', 'b', 'c']) failTimes(router, id, 3, 10);
  const chosen = [1, 2, 3, 4].map(() => choose(router, 20));
  t.deepEqual(chosen.sort(), ['a', 'b', 'c', 'd']);
});

test('should leave out an upstream that does not respond to open requests', t => {
  const router = routerOf(['a', 'b', 'c', 'd'].map(id => report(id)));
  t.is(new Set([1, 2, 3, 4].map(() => choose(router))).size, 4);
  for (const id of ['b', 'c', 'd']) router.applyReport(report(id), 500);
  t.is(countChoices(router, 100, 600).get('a'), undefined);
  router.applyReport(report('a'), 700);
  t.true((countChoices(router, 100, 700).get('a') ?? 0) > 0);
});

test('should use an avoided domain only when nothing else is left', t => {
  const router = routerOf([
    report('near'),
    report('far', {failureDomain: 'Mahres'}),
  ]);
  router.setAvoidedDomains(new Set(['Gabes']));
  t.is(choose(router), 'far');
  router.removeUpstream('far', 'VM lost', 0);
  t.is(choose(router), 'near');
});

test('should refuse at once when every expected wait exceeds the deadline', t => {
  const router = routerOf([report('a', {inFlight: 8, queued: 500})]);
  t.is(choose(router), 'QUEUE_FULL');
});

test('should expect the usual load of others once a report is old', t => {
  const router = routerOf([report('a', {inFlight: 4}), report('b')]);
  for (let now = 0; now < 2000; now += 10) {
    router.applyReport(report('a', {inFlight: 4}), now);
    router.applyReport(report('b', {inFlight: 2}), now);
  }
  router.applyReport(report('b', {inFlight: 8}), 2000);
  t.is(choose(router, 2000), 'a');
  t.is(choose(router, 2060), 'b');
});

test('should find an idle upstream among hundreds', t => {
  const router = routerOf(
    Array.from({length: 300}, (unused, index) =>
      report(`${index}`, {inFlight: index % 8 === 0 ? 0 : 8, queued: 4}),
    ),
  );
  for (let request = 0; request < 20; request++) {
    t.is(Number(choose(router)) % 8, 0);
  }
});

test('should limit retries and hedges together to a share of requests', t => {
  const router = routerOf([report('a'), report('b')], {retryBudgetShare: 0.1});
  let extra = 0;
  for (let request = 0; request < 1000; request++) {
    choose(router);
    if (router.mayRetry('orders', 0)) extra++;
    if (router.mayHedge('orders', 0, 'lost')) extra++;
  }
  t.true(extra >= 100 && extra <= 111, `${extra} extra requests`);
});

test('should hedge only for an unhealthy agent and while slots are free', t => {
  const router = routerOf([report('a'), report('b')]);
  t.is(router.hedgeDelayMillis('orders', 0), undefined);
  countChoices(router, 50, 0);
  t.true((router.hedgeDelayMillis('orders', 0) ?? 0) > 20);
  const silent = choose(router, 0);
  const other = silent === 'a' ? 'b' : 'a';
  t.false(router.mayHedge('orders', 10, silent));
  t.true(router.mayHedge('orders', 500, silent));
  t.false(router.mayHedge('orders', 500, other));
  router.applyReport(report(other, {inFlight: 8, queued: 1}), 500);
  t.false(router.mayHedge('orders', 500, silent));
});
