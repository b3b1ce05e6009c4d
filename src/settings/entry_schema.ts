import {
  advertisedKey,
  listenKey,
  logsSection,
  placeKeys,
  tlsSection,
} from './process_sections.js';
import {
  addressListKey,
  httpAddressListKey,
  integerKey,
  optional,
  required,
} from './settings_keys.js';
import {defineSection} from './settings_schema.js';
import type {DocumentSchema} from './settings_schema.js';

/** Schema of the settings file with which an entry starts. */

const MEBIBYTE = 1_048_576;

export const entryProcessSection = defineSection(
  'process',
  'The process and where it runs.',
  placeKeys,
  {required: true},
);

export const entryListenSection = defineSection(
  'listen',
  'Where the process accepts connections.',
  {
    callers: listenKey('HTTP for callers and operators.'),
    processes: listenKey('gRPC for agents and other entries.'),
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

export const peersSection = defineSection(
  'peers',
  'Where the entry finds the others while the store does not tell.',
  {
    addresses: optional(
      addressListKey({
        description: "The balancer's address for processes, or entries.",
        example: '10.1.0.10:7070, 10.1.0.11:7070',
      }),
      [] as readonly string[],
      'none',
    ),
  },
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
  drain_milliseconds: optional(
    integerKey(
      {
        description:
          'How long a stopping entry goes on after the balancer is told; longer than its health check takes.',
        example: '2000',
      },
      0,
      10_000,
    ),
    2_000,
    '2000',
  ),
});

export const ENTRY_SCHEMA: DocumentSchema = {
  title: 'Settings file of `burdockmoord entry`',
  sections: [
    entryProcessSection,
    entryListenSection,
    entryAdvertiseSection,
    peersSection,
    storeSection,
    shardsSection,
    limitsSection,
    tlsSection,
    logsSection,
  ],
};
