import type {ExecutionContext} from 'ava';
import {AgentProcess} from '../../src/agent/agent_process.js';
import type {EntryProcess} from '../../src/entry/entry_process.js';
import {SilentLogger} from '../../src/observability/logger.js';
import {HttpExecutor} from '../../src/backends/http_executor.js';
import {GrpcLinkFactory} from '../../src/protocol/grpc_links.js';
import {GrpcServer} from '../../src/protocol/grpc_server.js';
import type {AgentHandlers} from '../../src/protocol/links.js';
import {SettingsView} from '../../src/settings/settings_view.js';
import {SystemClock} from '../../src/utilities/clock.js';
import {Random} from '../../src/utilities/random.js';
import {NO_RESOURCES} from '../../src/utilities/resources.js';
import {ExecutorStandIn} from '../stand_ins/executor_stand_in.js';
import {WorkerMachine} from '../stand_ins/worker_machine.js';

const HOST = '127.0.0.1';

/** Serves `rounds` to the entry with a real agent, over gRPC and HTTP. */
export async function serveRounds(
  t: ExecutionContext,
  entry: EntryProcess,
): Promise<ExecutorStandIn> {
  const clock = new SystemClock();
  const standIn = new ExecutorStandIn({id: 'executor-1'});
  const executor = new HttpExecutor({address: await standIn.listen()});
  const worker = new WorkerMachine({id: 'w', clock, capacity: NO_RESOURCES});
  const toEntry = new GrpcServer({onHandlerError: message => t.fail(message)});
  toEntry.serveEntry(entry);
  const toAgent = new GrpcServer({onHandlerError: message => t.fail(message)});
  const handlers: AgentHandlers = {
    serve: request => agent.serve(request),
    startAttempts: request => agent.startAttempts(request),
    stopAttempts: request => agent.stopAttempts(request),
    queryAttempts: request => agent.queryAttempts(request),
    dumpState: () => agent.dumpState(),
  };
  toAgent.serveAgent(handlers);
  const slots = {slots: 8, connections: 64, reserved: NO_RESOURCES};
  const agent = new AgentProcess({
    ...{agentId: 'vm-1', incarnation: 'run-1', failureDomain: 'tema'},
    ...{region: 'here', rack: 'rack-1', executor, worker, clock},
    address: `${HOST}:${await toAgent.listen(`${HOST}:0`)}`,
    entryAddresses: [`${HOST}:${await toEntry.listen(`${HOST}:0`)}`],
    executorConfiguration: {service: 'rounds', team: 'depot', ...slots},
    links: new GrpcLinkFactory(),
    settings: new SettingsView(),
    random: new Random(1),
    logger: new SilentLogger(),
  });
  agent.start();
  t.teardown(async () => {
    agent.kill();
    executor.close('the test ends');
    worker.close();
    await standIn.close();
    await Promise.all([toAgent.close('the end'), toEntry.close('the end')]);
  });
  return standIn;
}
