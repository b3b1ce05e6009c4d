import {
  advertisedKey,
  listenKey,
  logsSection,
  identityKeys,
  tlsSection,
} from './process_sections.js';
import {
  addressKey,
  addressListKey,
  httpAddressKey,
  integerKey,
  nameKey,
  optional,
  required,
} from './settings_keys.js';
import {defineSection} from './settings_schema.js';
import type {DocumentSchema} from './settings_schema.js';

/** Schema of the settings file that an agent reads at startup. */

export const agentProcessSection = defineSection(
  'process',
  'Identity and location of the process. The id of an agent is the id of its VM.',
  {
    ...identityKeys,
    rack: required(
      nameKey({description: 'Rack of the VM.', example: 'rack-4'}),
    ),
  },
  {required: true},
);

export const agentListenSection = defineSection(
  'listen',
  'Addresses on which the process accepts connections.',
  {
    processes: listenKey('gRPC for entries.'),
    state: optional(
      addressKey({
        description: 'HTTP address that serves the metrics and the state dump.',
        example: '10.1.0.4:7071',
      }),
      undefined,
      'not served',
    ),
  },
  {required: true},
);

export const agentAdvertiseSection = defineSection(
  'advertise',
  'Address that other processes use, if it differs from the listen address.',
  {processes: advertisedKey('Address at which entries reach the agent.')},
);

export const entriesSection = defineSection(
  'entries',
  'Addresses at which the agent finds its first entry.',
  {
    addresses: required(
      addressListKey({
        description:
          'Address of the load balancer, or of some entries; the agent learns the other entries from them.',
        example: '10.1.0.10:7070, 10.1.0.11:7070',
      }),
    ),
  },
  {required: true},
);

export const workerSection = defineSection(
  'worker',
  "The platform's worker on the VM.",
  {
    address: required(
      httpAddressKey({
        description: 'Address of the worker.',
        example: 'http://127.0.0.1:9100',
      }),
    ),
  },
  {required: true},
);

export const executorSection = defineSection(
  'executor',
  'The executor on the VM; omit the section if the VM has none.',
  {
    address: required(
      httpAddressKey({
        description: 'Address of the executor.',
        example: 'http://127.0.0.1:9200',
      }),
    ),
    service: required(
      nameKey({
        description: 'Service that the executor runs.',
        example: 'rounds',
      }),
    ),
    team: required(
      nameKey({
        description: 'Team that owns the service.',
        example: 'asantewaa',
      }),
    ),
    slots: optional(
      integerKey(
        {
          description:
            'Maximum number of requests that the executor runs at a time.',
          example: '8',
        },
        1,
        1024,
      ),
      8,
      '8',
    ),
    connections: optional(
      integerKey(
        {
          description: 'Maximum number of open connections to the executor.',
          example: '64',
        },
        1,
        4096,
      ),
      64,
      '64',
    ),
    reserved_milliprocessors: optional(
      integerKey(
        {
          description:
            'Processor capacity reserved for the executor, in thousandths of a processor.',
          example: '2000',
        },
        0,
        1_000_000,
      ),
      0,
      '0',
    ),
    reserved_memory_megabytes: optional(
      integerKey(
        {
          description: 'Memory reserved for the executor, in megabytes.',
          example: '4096',
        },
        0,
        100_000_000,
      ),
      0,
      '0',
    ),
  },
);

export const AGENT_SCHEMA: DocumentSchema = {
  title: 'Settings file of `burdockmoord agent`',
  sections: [
    agentProcessSection,
    agentListenSection,
    agentAdvertiseSection,
    entriesSection,
    workerSection,
    executorSection,
    tlsSection,
    logsSection,
  ],
};
