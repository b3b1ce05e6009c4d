import {readFileSync} from 'node:fs';
import {messageOf} from '../utilities/base_error.js';
import type {Resources} from '../utilities/resources.js';
import {
  AGENT_SCHEMA,
  agentAdvertiseSection,
  agentListenSection,
  agentProcessSection,
  entriesSection,
  executorSection,
  workerSection,
} from './agent_schema.js';
import {
  ENTRY_SCHEMA,
  entryAdvertiseSection,
  entryListenSection,
  entryProcessSection,
  limitsSection,
  peersSection,
  shardsSection,
  storeSection,
} from './entry_schema.js';
import {parseAddress} from './network_address.js';
import type {NetworkAddress} from './network_address.js';
import {logsSection, tlsSection} from './process_sections.js';
import {
  advertiseFaults,
  createFileFault,
  tlsFaults,
} from './process_settings_faults.js';
import type {LOG_FORMATS, LOG_LEVELS} from './process_sections.js';
import {createSettingsError} from './settings_fault.js';
import {validateSettings} from './settings_schema.js';
import type {ValidatedSettings, DocumentSchema} from './settings_schema.js';

/** Settings files that processes read at startup. */

export interface TlsSettings {
  /** Paths of PEM files. */
  readonly certificate: string;
  readonly key: string;
  readonly authority: string;
}

export interface LogSettings {
  readonly level: (typeof LOG_LEVELS)[number];
  readonly format: (typeof LOG_FORMATS)[number];
}

export interface EntryProcessSettings {
  readonly process: {
    readonly id: string;
    readonly failureDomain: string;
    readonly region: string;
  };
  readonly listen: {
    readonly callers: NetworkAddress;
    readonly processes: NetworkAddress;
  };
  /** `HOST:PORT`; undefined means the listen address. */
  readonly advertise: {
    readonly callers?: string;
    readonly processes?: string;
  };
  readonly store: {
    readonly endpoints: readonly string[];
    readonly writesPerSecond: number;
    readonly readsPerSecond: number;
    readonly timeoutMillis: number;
  };
  /** Each in the form `HOST:PORT`. */
  readonly peers: {readonly addresses: readonly string[]};
  readonly shards: {readonly count: number};
  readonly limits: {
    readonly bodyBytes: number;
    readonly callerConnections: number;
    readonly drainMillis: number;
  };
  readonly tls?: TlsSettings;
  readonly logs: LogSettings;
}

export interface ExecutorSettings {
  /** `http://HOST:PORT`. */
  readonly address: string;
  readonly service: string;
  readonly team: string;
  readonly slots: number;
  readonly connections: number;
  /** Resources that are reserved for the executor. */
  readonly reserved: Resources;
}

export interface AgentProcessSettings {
  readonly process: {
    readonly id: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly rack: string;
  };
  readonly listen: {
    readonly processes: NetworkAddress;
    /** Serves metrics and the state dump over HTTP. */
    readonly state?: NetworkAddress;
  };
  /** `HOST:PORT`; undefined means the listen address. */
  readonly advertise: {readonly processes?: string};
  /** Each in the form `HOST:PORT`. */
  readonly entries: {readonly addresses: readonly string[]};
  /** `http://HOST:PORT`. */
  readonly worker: {readonly address: string};
  readonly executor?: ExecutorSettings;
  readonly tls?: TlsSettings;
  readonly logs: LogSettings;
}

/** Reads an entry's settings file; throws a SettingsError with all errors. */
export function readEntrySettings(file: string): EntryProcessSettings {
  return parseEntrySettings(file, readText(file));
}

/** Reads an agent's settings file; throws a SettingsError with all errors. */
export function readAgentSettings(file: string): AgentProcessSettings {
  return parseAgentSettings(file, readText(file));
}

/** Parses an entry's settings text; errors refer to it by the file name. */
export function parseEntrySettings(
  file: string,
  text: string,
): EntryProcessSettings {
  const checked = checkFile(file, text, ENTRY_SCHEMA);
  const place = checked.section(entryProcessSection);
  const listen = checked.section(entryListenSection);
  const store = checked.section(storeSection);
  const limits = checked.section(limitsSection);
  return {
    process: {
      id: place.id,
      failureDomain: place.failure_domain,
      region: place.region,
    },
    listen: {
      callers: parseAddress(listen.callers),
      processes: parseAddress(listen.processes),
    },
    advertise: checked.section(entryAdvertiseSection),
    store: {
      endpoints: store.endpoints,
      writesPerSecond: store.writes_per_second,
      readsPerSecond: store.reads_per_second,
      timeoutMillis: store.timeout_milliseconds,
    },
    peers: checked.section(peersSection),
    shards: checked.section(shardsSection),
    limits: {
      bodyBytes: limits.body_bytes,
      callerConnections: limits.caller_connections,
      drainMillis: limits.drain_milliseconds,
    },
    tls: tlsSettings(checked),
    logs: checked.section(logsSection),
  };
}

/** Parses an agent's settings text; errors refer to it by the file name. */
export function parseAgentSettings(
  file: string,
  text: string,
): AgentProcessSettings {
  const checked = checkFile(file, text, AGENT_SCHEMA);
  const place = checked.section(agentProcessSection);
  const listen = checked.section(agentListenSection);
  return {
    process: {
      id: place.id,
      failureDomain: place.failure_domain,
      region: place.region,
      rack: place.rack,
    },
    listen: {
      processes: parseAddress(listen.processes),
      state:
        listen.state === undefined ? undefined : parseAddress(listen.state),
    },
    advertise: checked.section(agentAdvertiseSection),
    entries: checked.section(entriesSection),
    worker: checked.section(workerSection),
    executor: executorSettings(checked),
    tls: tlsSettings(checked),
    logs: checked.section(logsSection),
  };
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    const message = `The file can't be read: ${messageOf(error)}.`;
    throw createSettingsError(file, [createFileFault(file, '', '', message)]);
  }
}

function checkFile(
  file: string,
  text: string,
  schema: DocumentSchema,
): ValidatedSettings {
  const result = validateSettings(file, text, schema);
  if (result.faults) throw createSettingsError(file, result.faults);
  const faults = [
    ...advertiseFaults(file, result.settings),
    ...tlsFaults(file, result.settings),
  ];
  if (faults.length > 0) throw createSettingsError(file, faults);
  return result.settings;
}

function tlsSettings(checked: ValidatedSettings): TlsSettings | undefined {
  const {certificate, key, authority} = checked.section(tlsSection);
  if (!certificate || !key || !authority) return undefined;
  return {certificate, key, authority};
}

function executorSettings(
  checked: ValidatedSettings,
): ExecutorSettings | undefined {
  if (!checked.has(executorSection)) return undefined;
  const executor = checked.section(executorSection);
  return {
    address: executor.address,
    service: executor.service,
    team: executor.team,
    slots: executor.slots,
    connections: executor.connections,
    reserved: {
      milliprocessors: executor.reserved_milliprocessors,
      memoryMegabytes: executor.reserved_memory_megabytes,
      accelerators: 0,
    },
  };
}
