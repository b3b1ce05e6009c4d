import type {ServiceRouter} from '../../decisions/routing/service_router.js';
import {ServeOutcome} from '../../protocol/links.js';
import type {Clock} from '../../utilities/clock.js';
import type {CallerRequest} from './caller_request.js';
import type {RequestObserver} from './request_observer.js';
import type {TryResult} from './try_result.js';
import type {UpstreamTry} from './upstream_try.js';

const HEDGE_DUE = Symbol('a second try is due');

/** Tries a request once, and hedges it when it is idempotent and takes long. */
export class HedgedTry {
  constructor(
    private readonly upstreamTry: UpstreamTry,
    private readonly router: ServiceRouter,
    private readonly clock: Clock,
    private readonly observer: RequestObserver,
  ) {}

  /**
   * One try, and a second beside it when the first takes suspiciously long.
   * Undefined when no agent is left to try.
   */
  async run(
    request: CallerRequest,
    deadlineAt: number,
    tried: Set<string>,
  ): Promise<TryResult | undefined> {
    const {service, idempotent} = request;
    const startedAt = this.clock.now();
    const known = new Set(tried);
    const first = this.upstreamTry.run(request, deadlineAt - startedAt, tried);
    const delayMillis = this.router.hedgeDelayMillis(service, startedAt);
    if (!idempotent || delayMillis === undefined) return first;
    if (startedAt + delayMillis >= deadlineAt) return first;
    const early = await this.withinDelay(first, delayMillis);
    if (early !== HEDGE_DUE) return early;
    const now = this.clock.now();
    const [agentId] = [...tried].filter(name => !known.has(name));
    if (!this.router.mayHedge(service, now, agentId)) return first;
    this.observer.onRetry(request, 'the answer takes long');
    return bestOf(
      first,
      this.upstreamTry.run(request, deadlineAt - now, tried),
    );
  }

  private withinDelay(
    first: Promise<TryResult | undefined>,
    delayMillis: number,
  ): Promise<TryResult | undefined | typeof HEDGE_DUE> {
    return new Promise(resolve => {
      const timer = this.clock.schedule(delayMillis, () => resolve(HEDGE_DUE));
      void first.then(result => {
        timer.cancel();
        resolve(result);
      });
    });
  }
}

/** The first whole answer of two tries; otherwise what is known at the end. */
async function bestOf(
  first: Promise<TryResult | undefined>,
  second: Promise<TryResult | undefined>,
): Promise<TryResult | undefined> {
  const earlier = await Promise.race([first, second]);
  if (earlier?.outcome === ServeOutcome.ANSWERED) return earlier;
  const results = await Promise.all([first, second]);
  for (const outcome of [ServeOutcome.ANSWERED, ServeOutcome.UNKNOWN]) {
    const found = results.find(result => result?.outcome === outcome);
    if (found) return found;
  }
  return results[0] ?? results[1];
}
