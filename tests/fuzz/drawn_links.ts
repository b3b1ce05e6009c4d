import fc from 'fast-check';
import type {ServiceDefinition} from '@grpc/grpc-js';
import {
  AgentServiceService,
  EntryServiceService,
} from '../../src/protocol/generated/burdockmoor.js';
import {LinkError} from '../../src/protocol/link_error.js';
import type {AgentLink, EntryLink} from '../../src/protocol/links.js';
import {REPLIES} from './drawn_messages.js';

const SAMPLES = 500;

/** Links whose calls are answered with drawn replies, or fail. */
export class DrawnLinks {
  readonly calls = new Map<string, number>();
  /** Serve replies that carried the id of their own request, by it. */
  readonly own = new Map<string, Buffer>();
  private readonly samples = new Map<string, readonly object[]>();

  constructor(private readonly seed: number) {}

  openAgent(): AgentLink {
    return this.open(AgentServiceService) as AgentLink;
  }

  openEntry(): EntryLink {
    return this.open(EntryServiceService) as EntryLink;
  }

  private open(service: ServiceDefinition): unknown {
    return new Proxy(
      {},
      {
        get: (_target, name: string) => async (request?: object) => {
          if (name === 'close') return undefined;
          return this.answer(service, name, request ?? {});
        },
      },
    );
  }

  /** Fails each tenth call; each other serve reply is to its own request. */
  private answer(service: ServiceDefinition, name: string, request: object) {
    const count = (this.calls.get(name) ?? 0) + 1;
    this.calls.set(name, count);
    if (count % 10 === 0)
      throw new LinkError('drawn', {props: {notSent: true}});
    const {responseSerialize, responseDeserialize} = service[name];
    const drawn = {...this.sampleOf(name, count)};
    const {requestId} = request as {requestId?: string};
    const isOwn = requestId !== undefined && count % 2 === 0;
    if (isOwn) Object.assign(drawn, {requestId});
    const reply = responseDeserialize(responseSerialize(drawn)) as object;
    if (isOwn) this.own.set(requestId, (reply as {body: Buffer}).body);
    return reply;
  }

  private sampleOf(name: string, count: number): object {
    const {seed} = this;
    const samples =
      this.samples.get(name) ??
      fc.sample(REPLIES[name], {seed, numRuns: SAMPLES});
    this.samples.set(name, samples);
    return samples[count % SAMPLES];
  }
}
