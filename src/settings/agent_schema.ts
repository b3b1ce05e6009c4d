import {
  advertisedKey,
  listenKey,
  logsSection,
  placeKeys,
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

/** Schema of the settings file with which an agent starts. */

export const agentProcessSection = defineSection(
  'process',
  'The process and where it runs. The id of an agent names its VM.',
  {
    ...placeKeys,
    rack: required(
      nameKey({description: 'The rack of its VM.', example: 'rack-4'}),
    ),
  },
  {required: true},
);

export const agentListenSection = defineSection(
  'listen',
  'Where the process accepts connections.',
  {
    processes: listenKey('gRPC for entries.'),
    state: optional(
      addressKey({
        description: 'HTTP for its metrics and state dump.',
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
  'Address that it tells others, where it differs from its own.',
  {processes: advertisedKey('Address for entries.')},
);

export const entriesSection = defineSection(
  'entries',
  'Where the agent finds its first entry.',
  {
    addresses: required(
      addressListKey({
        description:
          "The balancer's address, or those of entries; the entries name the others.",
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
        description: 'Its address.',
        example: 'http://127.0.0.1:9100',
      }),
    ),
  },
  {required: true},
);

export const executorSection = defineSection(
  'executor',
  'The executor on the VM; leave the section out where there is none.',
  {
    address: required(
      httpAddressKey({
        description: 'Its address.',
        example: 'http://127.0.0.1:9200',
      }),
    ),
    service: required(
      nameKey({description: 'The service it runs.', example: 'rounds'}),
    ),
    team: required(
      nameKey({description: 'The team of the service.', example: 'asantewaa'}),
    ),
    slots: optional(
      integerKey(
        {description: 'Requests it runs at a time.', example: '8'},
        1,
        1024,
      ),
      8,
      '8',
    ),
    connections: optional(
      integerKey(
        {description: 'Most open connections to it.', example: '64'},
        1,
        4096,
      ),
      64,
      '64',
    ),
    reserved_milliprocessors: optional(
      integerKey(
        {
          description: 'Thousandths of a processor that tasks leave to it.',
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
        {description: 'Memory that tasks leave to it.', example: '4096'},
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
