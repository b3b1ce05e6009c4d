import type {
  AgentLink,
  EntryLink,
  LinkFactory,
} from '../../src/protocol/links.js';
import {LinkError} from '../../src/protocol/link_error.js';
import type {VirtualClock} from '../../src/utilities/virtual_clock.js';
import type {ProcessClock} from './process_clock.js';
import type {Step, StepHooks, StepPlace} from './step_hooks.js';

const LATENCY_MILLIS = 1.5;
const SILENT_CALLS_BEFORE_REPLACEMENT = 2;
const CALL_DEADLINE_MILLIS = 3_000;
const HEARTBEAT_DEADLINE_MILLIS = 1_000;

/** One process on the network. */
export interface NetworkNode {
  readonly id: string;
  readonly address: string;
  readonly clock: ProcessClock;
  readonly handlers: object;
  readonly isEntry: boolean;
}

/** What the gRPC channel of a link holds. */
interface Connection {
  openedAt: number;
  /** Calls in a row that brought no reply. */
  silentCalls: number;
}

/** A call on its way. */
interface Call<Reply> {
  readonly from: NetworkNode;
  readonly address: string;
  readonly name: string;
  readonly deadlineMillis: number;
  readonly connection: Connection;
  readonly handle: (handlers: object) => Promise<Reply>;
}

/** Carries calls between processes, with faults on request. */
export class VirtualNetwork {
  private readonly nodes = new Map<string, NetworkNode>();
  /** Directed pairs `from>to` over which nothing passes. */
  readonly cuts = new Set<string>();
  /** Pairs whose connections opened until then are silent. */
  readonly silentUntil = new Map<string, number>();
  /** Machines that are gone: connecting to them is silent, too. */
  readonly lostMachines = new Set<string>();

  constructor(
    private readonly clock: VirtualClock,
    private readonly hooks: StepHooks,
  ) {}

  attach(node: NetworkNode): void {
    this.nodes.set(node.address, node);
  }

  detach(address: string): void {
    this.nodes.delete(address);
  }

  /** The links that a process opens. */
  linksOf(node: () => NetworkNode): LinkFactory {
    return {
      openEntry: address => this.openLink<EntryLink>(node, address),
      openAgent: address => this.openLink<AgentLink>(node, address),
    };
  }

  private openLink<Link>(node: () => NetworkNode, address: string): Link {
    const connection = {openedAt: this.clock.now(), silentCalls: 0};
    const link = new Proxy(
      {},
      {
        get: (_target, name: string) => {
          if (name === 'close') return () => {};
          return (request?: object, deadlineMillis?: number) =>
            this.call({
              from: node(),
              address,
              name,
              deadlineMillis: deadlineMillis ?? deadlineOf(name, request),
              connection,
              handle: handlers => invoke(handlers, name, request),
            });
        },
      },
    );
    return link as Link;
  }

  private call<Reply>(call: Call<Reply>): Promise<Reply> {
    const {from, address, name} = call;
    if (from.clock.dead) return new Promise(() => {});
    this.reached(`${name}.request`, from, this.nodes.get(address));
    return new Promise((resolve, reject) => {
      const deadline = from.clock.schedule(call.deadlineMillis, () => {
        this.noteSilence(call.connection);
        reject(lost(call, 'deadline exceeded', false));
      });
      const settle = (action: () => void): void => {
        from.clock.run(() => {
          deadline.cancel();
          call.connection.silentCalls = 0;
          action();
        });
      };
      this.clock.schedule(LATENCY_MILLIS, () => {
        const target = this.nodes.get(address);
        if (this.isSilent(call, target)) return;
        if (!target || target.clock.dead) {
          const refused = lost(call, 'connection refused', true);
          settle(() => reject(refused));
          return;
        }
        void target.clock.death.then(() =>
          this.reset(call, target, settle, reject),
        );
        target.clock.run(() =>
          this.serve(call, target, settle, resolve, reject),
        );
      });
    });
  }

  /** The machine of a process that died tells so to those that wait for it. */
  private reset<Reply>(
    call: Call<Reply>,
    target: NetworkNode,
    settle: (action: () => void) => void,
    reject: (error: Error) => void,
  ): void {
    this.clock.schedule(LATENCY_MILLIS, () => {
      if (this.lostMachines.has(call.address)) return;
      if (this.isCut(target.id, call.from.id)) return;
      settle(() => reject(lost(call, 'connection reset', false)));
    });
  }

  private serve<Reply>(
    call: Call<Reply>,
    target: NetworkNode,
    settle: (action: () => void) => void,
    resolve: (reply: Reply) => void,
    reject: (error: Error) => void,
  ): void {
    const back = (action: () => void): void => {
      this.reached(`${call.name}.reply`, target, call.from);
      if (target.clock.dead) return;
      target.clock.run(() =>
        this.clock.schedule(LATENCY_MILLIS, () => {
          if (this.isCut(target.id, call.from.id)) return;
          settle(action);
        }),
      );
    };
    call.handle(target.handlers).then(
      reply => back(() => resolve(structuredClone(reply))),
      (error: unknown) =>
        back(() => reject(lost(call, `handler: ${String(error)}`, false))),
    );
  }

  private isSilent<Reply>(
    call: Call<Reply>,
    target: NetworkNode | undefined,
  ): boolean {
    if (this.lostMachines.has(call.address)) return true;
    if (!target) return false;
    const pair = `${call.from.id}>${target.id}`;
    const {openedAt} = call.connection;
    if (openedAt < (this.silentUntil.get(pair) ?? -Infinity)) return true;
    return this.isCut(call.from.id, target.id);
  }

  /** Like the gRPC channel: a silent connection is replaced. */
  private noteSilence(connection: Connection): void {
    connection.silentCalls++;
    if (connection.silentCalls < SILENT_CALLS_BEFORE_REPLACEMENT) return;
    connection.silentCalls = 0;
    connection.openedAt = this.clock.now();
  }

  private isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`);
  }

  private reached(
    step: string,
    from: NetworkNode,
    to: NetworkNode | undefined,
  ): void {
    const place: StepPlace = {
      entry: from.isEntry ? from.id : to?.isEntry ? to.id : undefined,
      agent: !from.isEntry ? from.id : to && !to.isEntry ? to.id : undefined,
    };
    this.hooks.reached(step as Step, place);
  }
}

function invoke<Reply>(
  handlers: object,
  name: string,
  request?: object,
): Promise<Reply> {
  const methods = handlers as Record<string, (request?: object) => unknown>;
  return methods[name](structuredClone(request)) as Promise<Reply>;
}

function deadlineOf(name: string, request?: object): number {
  if (name === 'heartbeat') return HEARTBEAT_DEADLINE_MILLIS;
  if (name === 'serve') {
    return (request as {deadlineMillis: number}).deadlineMillis + 200;
  }
  return CALL_DEADLINE_MILLIS;
}

function lost<Reply>(
  call: Call<Reply>,
  reason: string,
  notSent: boolean,
): Error {
  return new LinkError(`Call ${call.name} to ${call.address}: ${reason}`, {
    props: {notSent},
  });
}
