import {DEFAULT_LISTENER_LIMITS} from '../http/listener_limits.js';
import type {ListenerLimits} from '../http/listener_limits.js';
import {ListenerMonitor} from '../http/listener_monitor.js';
import type {Logger} from '../observability/logger.js';
import type {Metrics} from '../observability/metrics.js';
import type {StateServerOptions} from './state_server.js';
import type {
  FleetProcessSettings,
  ListenerLimitSettings,
} from '../platform/platform_settings.js';

type ConnectionLimit = Extract<
  keyof ListenerLimitSettings,
  `${string}Connections`
>;

interface ConnectionShare {
  readonly connections: number;
  /** Share of the process's descriptors; the rest is for its own calls. */
  readonly descriptorShare: number;
}

const CONNECTION_SHARES: Readonly<Record<ConnectionLimit, ConnectionShare>> = {
  callerConnections: {connections: 1_024, descriptorShare: 1 / 4},
  reportConnections: {connections: 1_024, descriptorShare: 1 / 4},
  processConnections: {connections: 1_536, descriptorShare: 3 / 8},
  healthConnections: {connections: 64, descriptorShare: 1 / 64},
  metricsConnections: {connections: 32, descriptorShare: 1 / 128},
};

/** The limit and its monitor, as the options of a listener. */
export interface ListenerOptions {
  readonly limits: ListenerLimits;
  readonly monitor: ListenerMonitor;
}

/** Creates the options of the process's listeners from its settings. */
export class ListenerOptionsFactory {
  constructor(
    private readonly settings: FleetProcessSettings,
    private readonly logger: Logger,
    private readonly metrics: Metrics,
  ) {}

  create(listener: string, limit: ConnectionLimit): ListenerOptions {
    const {listenerLimits} = this.settings;
    const {callsPerConnection, callBytes, bodyBytes, unsentMillis} = {
      ...DEFAULT_LISTENER_LIMITS,
      ...listenerLimits,
    };
    const connections = this.connectionsOf(limit);
    return {
      limits: {
        connections,
        callsPerConnection,
        callBytes,
        bodyBytes,
        unsentMillis,
      },
      monitor: this.createMonitor(listener),
    };
  }

  createStateServerOptions(): StateServerOptions {
    const {limits, monitor} = this.create('metrics', 'metricsConnections');
    const {connections, unsentMillis} = limits;
    return {connections, unsentMillis, monitor};
  }

  /** Returns the maximum number of connections of a listener. */
  connectionsOf(limit: ConnectionLimit): number {
    const {descriptors, listenerLimits} = this.settings;
    const {connections, descriptorShare} = CONNECTION_SHARES[limit];
    const available = Math.floor(descriptors * descriptorShare);
    return (
      listenerLimits[limit] ?? Math.max(1, Math.min(connections, available))
    );
  }

  createMonitor(listener: string): ListenerMonitor {
    const {logger, metrics} = this;
    return new ListenerMonitor({listener, logger, metrics});
  }
}
