import {ResultCodes} from '../../observability/result_codes.js';
import {apiError, jsonResponse} from '../http/api_types.js';
import type {ApiRouter} from '../http/api_router.js';

/** Health check of the load balancer: fails while the entry drains. */
export class HealthQuery {
  constructor(
    private readonly entryId: string,
    private readonly isDraining: () => boolean,
  ) {}

  addRoutes(router: ApiRouter): void {
    router.add('GET', '/v1/health', async () => {
      if (this.isDraining()) {
        throw apiError(
          ResultCodes.ENTRY_STOPPING,
          'The entry is shutting down.',
        );
      }
      return jsonResponse({entry: this.entryId, ready: true});
    });
  }
}
