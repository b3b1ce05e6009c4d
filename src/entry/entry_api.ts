import {Events} from '../observability/events.js';
import {messageOf} from '../utilities/base_error.js';
import {JobCommands} from './commands/job_commands.js';
import {SettingsCommands} from './commands/settings_commands.js';
import type {EntryComponents} from './entry_components.js';
import type {EntryProcessOptions} from './entry_process_options.js';
import {ApiRouter} from './http/api_router.js';
import {responseOfError} from './http/api_types.js';
import type {ApiResponse, ApiCall} from './http/api_types.js';
import {dumpEntry} from './queries/entry_dump.js';
import {HealthQuery} from './queries/health_query.js';
import {JobQueries} from './queries/job_queries.js';
import {OperatorQueries} from './queries/operator_queries.js';
import {readCallerRequest} from './requests/caller_request_reader.js';

/** The HTTP API of an entry: the commands, the queries and the services. */
export class EntryApi {
  private readonly router = new ApiRouter();

  constructor(
    private readonly options: EntryProcessOptions,
    private readonly components: EntryComponents,
    private readonly isDraining: () => boolean,
  ) {
    this.addCommands();
    this.addQueries();
    this.addServices();
  }

  /** Answers a call; never rejects. */
  async call(call: ApiCall): Promise<ApiResponse> {
    try {
      return await this.router.handle(call);
    } catch (error) {
      const answer = responseOfError(error);
      if (answer.status === 500) {
        const {logger} = this.options;
        const path = call.target;
        const reason = messageOf(error);
        logger.event(Events.UNEXPECTED_FAULT, {path, reason});
      }
      return answer;
    }
  }

  private addCommands(): void {
    const {clock, logger} = this.options;
    const {access, settings, branches, follower} = this.components;
    new JobCommands(access, settings, clock).addRoutes(this.router);
    new SettingsCommands(branches, settings, logger, () =>
      follower.refresh(),
    ).addRoutes(this.router);
  }

  private addQueries(): void {
    const {record, metrics, clock} = this.options;
    const {access, branches, settings, agents, router, statuses} =
      this.components;
    new HealthQuery(record.entryId, this.isDraining).addRoutes(this.router);
    new JobQueries(access).addRoutes(this.router);
    new OperatorQueries({
      entryId: record.entryId,
      branches,
      settings,
      agents,
      router,
      statuses,
      metrics,
      clock,
      dumpState: () => dumpEntry(this.options, this.components),
    }).addRoutes(this.router);
  }

  private addServices(): void {
    const {forwarder, settings} = this.components;
    this.router.add('*', '/v1/services/:service/**', async (call, {service}) =>
      forwarder.forward(readCallerRequest(call, service, settings)),
    );
  }
}
