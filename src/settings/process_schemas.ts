import {
  addressKey,
  addressListKey,
  choiceKey,
  httpAddressKey,
  httpAddressListKey,
  integerKey,
  nameKey,
  optional,
  pathKey,
  required,
} from './settings_keys.js';
import type {KeySchema} from './settings_keys.js';
import {defineSection} from './settings_schema.js';
import type {DocumentSchema} from './settings_schema.js';

/** Schemas of the settings files with which processes start. */

export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;
export const LOG_FORMATS = ['auto', 'json', 'text'] as const;

const MEBIBYTE = 1_048_576;

const placeKeys = {
  id: required(
    nameKey({
      description: 'Names the process; unique in the fleet.',
      example: 'entry-1',
    }),
  ),
  failure_domain: required(
    nameKey({
      description: 'The failure domain of its VM.',
      example: 'kaneshie',
    }),
  ),
  region: required(
    nameKey({description: 'The region of its VM.', example: 'accra'}),
  ),
};

export const entryProcessSection = defineSection(
  'process',
  'The process and where it runs.',
  placeKeys,
  {required: true},
);

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

function listenKey(description: string): KeySchema<string> {
  return required(addressKey({description, example: '10.1.0.4:7070'}));
}

function advertisedKey(description: string): KeySchema<string | undefined> {
  return optional(
    addressKey({description, example: '10.1.0.4:7070'}),
    undefined,
    'the address it listens on',
  );
}

export const entryListenSection = defineSection(
  'listen',
  'Where the process accepts connections; port 0 takes any free port.',
  {
    callers: listenKey('HTTP for callers and operators.'),
    processes: listenKey('gRPC for agents and other entries.'),
  },
  {required: true},
);

export const agentListenSection = defineSection(
  'listen',
  'Where the process accepts connections; port 0 takes any free port.',
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

export const entryAdvertiseSection = defineSection(
  'advertise',
  'Addresses that it tells others, where they differ from its own.',
  {
    callers: advertisedKey('Address for callers.'),
    processes: advertisedKey('Address for agents and other entries.'),
  },
);

export const agentAdvertiseSection = defineSection(
  'advertise',
  'Address that it tells others, where it differs from its own.',
  {processes: advertisedKey('Address for entries.')},
);

export const storeSection = defineSection(
  'store',
  "The platform's key-value service. The rates are this process's own.",
  {
    endpoints: required(
      httpAddressListKey({
        description: 'Its addresses; the next one is tried when one is silent.',
        example: 'http://10.1.0.2:2379, http://10.1.0.3:2379',
      }),
    ),
    writes_per_second: optional(
      integerKey(
        {description: 'Most writes in a second.', example: '200'},
        1,
        10_000,
      ),
      200,
      '200',
    ),
    reads_per_second: optional(
      integerKey(
        {
          description: 'Most reads in a second; a waiting watch counts as one.',
          example: '800',
        },
        1,
        10_000,
      ),
      800,
      '800',
    ),
    timeout_milliseconds: optional(
      integerKey(
        {
          description: 'After this time without a reply a call has failed.',
          example: '1500',
        },
        50,
        60_000,
      ),
      1500,
      '1500',
    ),
  },
  {required: true},
);

export const shardsSection = defineSection('shards', 'Shards of the jobs.', {
  count: optional(
    integerKey(
      {
        description:
          'Number of shards; the same in all entries, never changed once jobs exist.',
        example: '12',
      },
      1,
      1024,
    ),
    12,
    '12',
  ),
});

export const limitsSection = defineSection('limits', 'Limits of calls.', {
  body_bytes: optional(
    integerKey(
      {description: 'Longest body of a call.', example: '1048576'},
      1024,
      64 * MEBIBYTE,
    ),
    MEBIBYTE,
    '1048576',
  ),
});

function certificateKey(
  description: string,
  example: string,
): KeySchema<string | undefined> {
  return optional(pathKey({description, example}), undefined, 'none');
}

export const tlsSection = defineSection(
  'tls',
  'Mutual TLS between processes: all three paths or none.',
  {
    certificate: certificateKey(
      "The process's certificate in PEM.",
      '/etc/burdockmoor/process.crt',
    ),
    key: certificateKey(
      "The certificate's private key in PEM.",
      '/etc/burdockmoor/process.key',
    ),
    authority: certificateKey(
      'The authority that signs the certificates of all processes, in PEM.',
      '/etc/burdockmoor/authority.crt',
    ),
  },
);

export const logsSection = defineSection('logs', 'Logs on standard output.', {
  level: optional(
    choiceKey(
      {description: 'The lowest level that is written.', example: 'info'},
      LOG_LEVELS,
    ),
    'info',
    'info',
  ),
  format: optional(
    choiceKey(
      {
        description: 'auto writes text on a terminal and JSON lines elsewhere.',
        example: 'json',
      },
      LOG_FORMATS,
    ),
    'auto',
    'auto',
  ),
});

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

export const ENTRY_SCHEMA: DocumentSchema = {
  title: 'Settings file of `burdockmoord entry`',
  sections: [
    entryProcessSection,
    entryListenSection,
    entryAdvertiseSection,
    storeSection,
    shardsSection,
    limitsSection,
    tlsSection,
    logsSection,
  ],
};

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
