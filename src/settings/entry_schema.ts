import {
  advertisedKey,
  listenKey,
  logsSection,
  identityKeys,
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

/** Schema of the settings file that an entry reads at startup. */

const MEBIBYTE = 1_048_576;

export const entryProcessSection = defineSection(
  'process',
  'Identity and location of the process.',
  identityKeys,
  {required: true},
);

export const entryListenSection = defineSection(
  'listen',
  'Addresses on which the process accepts connections.',
  {
    callers: listenKey('HTTP for callers and operators.'),
    processes: listenKey('gRPC for agents and other entries.'),
  },
  {required: true},
);

export const entryAdvertiseSection = defineSection(
  'advertise',
  'Addresses that others use, if they differ from the listen addresses.',
  {
    callers: advertisedKey('Address at which callers reach the entry.'),
    processes: advertisedKey(
      'Address at which agents and other entries reach the entry.',
    ),
  },
);

export const peersSection = defineSection(
  'peers',
  'Addresses at which the entry finds other entries while the store is unavailable.',
  {
    addresses: optional(
      addressListKey({
        description:
          'Address of the load balancer for processes, or addresses of entries.',
        example: '10.1.0.10:7070, 10.1.0.11:7070',
      }),
      [] as readonly string[],
      'none',
    ),
  },
);

export const storeSection = defineSection(
  'store',
  "The platform's key-value service. The rates are limits for this process alone.",
  {
    endpoints: required(
      httpAddressListKey({
        description:
          'Addresses of the store; if one does not respond, the next one is tried.',
        example: 'http://10.1.0.2:2379, http://10.1.0.3:2379',
      }),
    ),
    writes_per_second: optional(
      integerKey(
        {description: 'Maximum number of writes per second.', example: '200'},
        1,
        10_000,
      ),
      200,
      '200',
    ),
    reads_per_second: optional(
      integerKey(
        {
          description:
            'Maximum number of reads per second; an open watch counts as one.',
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
          description: 'A call without a reply after this time has failed.',
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

export const shardsSection = defineSection(
  'shards',
  'Shards that the jobs are divided into.',
  {
    count: optional(
      integerKey(
        {
          description:
            'Number of shards; must be the same in all entries and must not change once jobs exist.',
          example: '12',
        },
        1,
        1024,
      ),
      12,
      '12',
    ),
  },
);

export const limitsSection = defineSection(
  'limits',
  'Limits on calls and on shutdown.',
  {
    body_bytes: optional(
      integerKey(
        {
          description: 'Maximum size of the body of a call.',
          example: '1048576',
        },
        1024,
        64 * MEBIBYTE,
      ),
      MEBIBYTE,
      '1048576',
    ),
    caller_connections: optional(
      integerKey(
        {
          description:
            'Maximum number of open connections of callers; beyond it, the one that has been idle for longest is closed.',
          example: '1024',
        },
        1,
        65_536,
      ),
      1_024,
      '1024',
    ),
    drain_milliseconds: optional(
      integerKey(
        {
          description:
            'Time that a stopping entry keeps serving after its health check starts to fail; must be longer than the load balancer takes to notice.',
          example: '2000',
        },
        0,
        10_000,
      ),
      2_000,
      '2000',
    ),
  },
);

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
