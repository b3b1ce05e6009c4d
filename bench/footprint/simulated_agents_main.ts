import {parseArgs} from 'node:util';
import {GrpcLinkFactory} from '../../src/protocol/grpc_links.js';
import {GrpcServer} from '../../src/protocol/grpc_server.js';
import type {StartAttemptsRequest} from '../../src/protocol/generated/burdockmoor.js';
import type {AgentHandlers} from '../../src/protocol/links.js';
import {Random} from '../../src/utilities/random.js';
import {SimulatedAgent} from './simulated_agent.js';

/**
 * Usage: node simulated_agents_main.js --entry HOST:PORT --listen HOST:PORT
 *   --advertise HOST:PORT --first NUMBER --count NUMBER
 *
 * Runs light agents that share one server, and prints their counts as a JSON
 * line every second, and one for each urgent start.
 */
const MAXIMUM_COUNT = 200;
const MAXIMUM_RUN_MILLIS = 300_000;
const COUNTS_PERIOD_MILLIS = 1_000;
const FAILURE_DOMAINS = 6;

const {values} = parseArgs({
  options: {
    entry: {type: 'string', default: ''},
    listen: {type: 'string', default: ''},
    advertise: {type: 'string', default: ''},
    first: {type: 'string', default: '0'},
    count: {type: 'string', default: '1'},
  },
});
const first = Number(values.first);
const count = Math.min(MAXIMUM_COUNT, Number(values.count));
const links = new GrpcLinkFactory();
const agents = new Map<string, SimulatedAgent>();
for (let number = first; number < first + count; number++) {
  const agentId = `simulated-${number}`;
  const agent = new SimulatedAgent({
    agentId,
    address: values.advertise,
    failureDomain: `domain-${number % FAILURE_DOMAINS}`,
    link: links.openEntry(values.entry),
    random: new Random(number + 1),
  });
  agents.set(agentId, agent);
}

function printUrgentStarts(request: StartAttemptsRequest): void {
  for (const {name, urgent} of request.starts) {
    if (!urgent) continue;
    const line = {urgentJob: name!.job, wallTime: Date.now()};
    console.log(JSON.stringify(line));
  }
}

const handlers: AgentHandlers = {
  startAttempts: async request => {
    agents.get(request.agentId)?.begin(request);
    printUrgentStarts(request);
    const results = request.starts.map(({name}) => ({
      name,
      accepted: true,
      resultCode: 0,
      reason: '',
    }));
    return {results};
  },
  stopAttempts: async () => ({accepted: true, resultCode: 0}),
  queryAttempts: async request => ({
    accepted: true,
    resultCode: 0,
    incarnation: '',
    states: request.names.map(name => ({
      name,
      running: true,
      report: undefined,
    })),
  }),
  dumpState: async () => ({json: '{}'}),
  serve: async () => {
    throw new Error('a simulated agent has no executor');
  },
};

const server = new GrpcServer({
  onHandlerError: message => console.error(message),
});
server.serveAgent(handlers);
await server.listen(values.listen);
for (const agent of agents.values()) agent.start();
setInterval(() => {
  let heartbeats = 0;
  let starts = 0;
  for (const agent of agents.values()) {
    heartbeats += agent.heartbeats;
    starts += agent.starts;
  }
  console.log(JSON.stringify({heartbeats, starts}));
}, COUNTS_PERIOD_MILLIS);
setTimeout(() => process.exit(1), MAXIMUM_RUN_MILLIS);
