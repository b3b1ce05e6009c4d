import type {ServiceRouter} from '../../decisions/routing/service_router.js';
import {ServeOutcome} from '../../protocol/links.js';
import type {Clock} from '../../utilities/clock.js';
import type {CallerRequest} from './caller_request.js';
import type {RequestObserver} from './request_observer.js';
import type {RequestAttemptResult} from './request_attempt_result.js';
import type {UpstreamRequestSender} from './upstream_request_sender.js';

const HEDGE_DELAY_ELAPSED = Symbol('hedge delay elapsed');

/** Sends a request, and hedges it if it is idempotent and slow to respond. */
export class HedgedRequestSender {
  constructor(
    private readonly sender: UpstreamRequestSender,
    private readonly router: ServiceRouter,
    private readonly clock: Clock,
    private readonly observer: RequestObserver,
  ) {}

  /**
   * Makes one request attempt, and a second one in parallel if the first has no
   * result after the hedge delay. Undefined when no agent is left to try.
   */
  async send(
    request: CallerRequest,
    deadlineAt: number,
    triedAgents: Set<string>,
  ): Promise<RequestAttemptResult | undefined> {
    const {service, idempotent} = request;
    const startedAt = this.clock.now();
    const triedBefore = new Set(triedAgents);
    const first = this.sender.send(
      request,
      deadlineAt - startedAt,
      triedAgents,
    );
    const delayMillis = this.router.hedgeDelayMillis(service, startedAt);
    if (!idempotent || delayMillis === undefined) return first;
    if (startedAt + delayMillis >= deadlineAt) return first;
    const result = await this.resultWithinDelay(first, delayMillis);
    if (result !== HEDGE_DELAY_ELAPSED) return result;
    const now = this.clock.now();
    const [agentId] = [...triedAgents].filter(name => !triedBefore.has(name));
    if (!this.router.mayHedge(service, now, agentId)) return first;
    this.observer.onRetry(request, 'the response is slow');
    return bestResultOf(
      first,
      this.sender.send(request, deadlineAt - now, triedAgents),
    );
  }

  private resultWithinDelay(
    first: Promise<RequestAttemptResult | undefined>,
    delayMillis: number,
  ): Promise<RequestAttemptResult | undefined | typeof HEDGE_DELAY_ELAPSED> {
    return new Promise(resolve => {
      const timer = this.clock.schedule(delayMillis, () =>
        resolve(HEDGE_DELAY_ELAPSED),
      );
      void first.then(result => {
        timer.cancel();
        resolve(result);
      });
    });
  }
}

/**
 * Returns the first complete response; if neither attempt gets one, an unknown
 * outcome takes precedence over one that did not run.
 */
async function bestResultOf(
  first: Promise<RequestAttemptResult | undefined>,
  second: Promise<RequestAttemptResult | undefined>,
): Promise<RequestAttemptResult | undefined> {
  const earlier = await Promise.race([first, second]);
  if (earlier?.outcome === ServeOutcome.ANSWERED) return earlier;
  const results = await Promise.all([first, second]);
  for (const outcome of [ServeOutcome.ANSWERED, ServeOutcome.UNKNOWN]) {
    const best = results.find(result => result?.outcome === outcome);
    if (best) return best;
  }
  return results[0] ?? results[1];
}
