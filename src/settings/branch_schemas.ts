import {
  booleanKey,
  choiceKey,
  choiceListKey,
  decimalKey,
  integerKey,
  optional,
} from './settings_keys.js';
import {defineSection} from './settings_schema.js';
import type {DocumentSchema} from './settings_schema.js';
import {Urgency} from './settings_types.js';

/** Schemas of the operators' branch and of the teams' branches. */

const HTTP_METHODS = [
  'GET',
  'HEAD',
  'OPTIONS',
  'PUT',
  'DELETE',
  'POST',
  'PATCH',
];
const MAXIMUM_MILLIS = 600_000;
const MAXIMUM_PROCESSORS = 1_000_000;
const MAXIMUM_MEMORY_MEGABYTES = 1_000_000_000;
const MAXIMUM_TASKS = 1_000_000;

export const failureDomainSection = defineSection(
  'failure_domain',
  'A failure domain, by its name.',
  {
    out: optional(
      booleanKey({
        description: 'No task starts there while it is true.',
        example: 'true',
      }),
      false,
      'false',
    ),
  },
  {named: true},
);

export const vmSection = defineSection(
  'vm',
  'A VM, by the id of its agent.',
  {
    drain: optional(
      booleanKey({
        description:
          'While it is true the VM takes no new work and its tasks move away.',
        example: 'true',
      }),
      false,
      'false',
    ),
  },
  {named: true},
);

export const leasesSection = defineSection('leases', 'Leases of tasks.', {
  task_lease_seconds: optional(
    integerKey(
      {
        description:
          "How long an attempt outlives the last word of its shard's owner.",
        example: '15',
      },
      3,
      30,
    ),
    15,
    '15',
  ),
});

export const freshSection = defineSection('settings', 'Age of settings.', {
  fresh_seconds: optional(
    integerKey(
      {
        description:
          'An agent whose settings were confirmed longer ago starts no task.',
        example: '4',
      },
      1,
      10,
    ),
    4,
    '4',
  ),
});

export const heartbeatsSection = defineSection(
  'heartbeats',
  'Heartbeats from agents to entries.',
  {
    period_milliseconds: optional(
      integerKey(
        {
          description: 'Time between two heartbeats of an agent to an entry.',
          example: '1000',
        },
        100,
        10_000,
      ),
      1000,
      '1000',
    ),
  },
);

export const requestsSection = defineSection(
  'requests',
  'Service requests of all teams.',
  {
    retry_budget_percent: optional(
      integerKey(
        {
          description: 'Share of requests that may be retries or hedges.',
          example: '10',
        },
        0,
        100,
      ),
      10,
      '10',
    ),
    maximum_ejected_percent: optional(
      integerKey(
        {
          description:
            "Share of a service's upstreams that may be ejected at a time.",
          example: '30',
        },
        0,
        90,
      ),
      30,
      '30',
    ),
  },
);

export const FLEET_SCHEMA: DocumentSchema = {
  title: 'The branch `fleet`',
  sections: [
    failureDomainSection,
    vmSection,
    leasesSection,
    freshSection,
    heartbeatsSection,
    requestsSection,
  ],
};

export const quotaSection = defineSection(
  'quota',
  'The most that the tasks of the team take at a time, over all VMs.',
  {
    processors: optional(
      decimalKey(
        {description: 'Processors.', example: '120.5'},
        0,
        MAXIMUM_PROCESSORS,
      ),
      MAXIMUM_PROCESSORS,
      `${MAXIMUM_PROCESSORS}`,
    ),
    memory_megabytes: optional(
      integerKey(
        {description: 'Memory in megabytes.', example: '400000'},
        0,
        MAXIMUM_MEMORY_MEGABYTES,
      ),
      MAXIMUM_MEMORY_MEGABYTES,
      `${MAXIMUM_MEMORY_MEGABYTES}`,
    ),
    accelerators: optional(
      integerKey(
        {description: 'Accelerators.', example: '4'},
        0,
        MAXIMUM_PROCESSORS,
      ),
      MAXIMUM_PROCESSORS,
      `${MAXIMUM_PROCESSORS}`,
    ),
    running_tasks: optional(
      integerKey(
        {description: 'Tasks that run at a time.', example: '200'},
        0,
        MAXIMUM_TASKS,
      ),
      MAXIMUM_TASKS,
      `${MAXIMUM_TASKS}`,
    ),
  },
);

export const shareSection = defineSection(
  'share',
  'What the team gets when teams want more than the fleet has.',
  {
    weight: optional(
      decimalKey(
        {
          description: 'Its share, against the weights of the other teams.',
          example: '2.5',
        },
        0.01,
        1000,
      ),
      1,
      '1',
    ),
  },
);

export const jobsSection = defineSection('jobs', 'Jobs of the team.', {
  default_urgency: optional(
    choiceKey(
      {
        description: 'Urgency of a job that names none.',
        example: Urgency.URGENT,
      },
      [Urgency.URGENT, Urgency.NORMAL],
    ),
    Urgency.NORMAL,
    Urgency.NORMAL,
  ),
});

export const serviceSection = defineSection(
  'service',
  'A service of the team, by its name.',
  {
    target_tail_milliseconds: optional(
      integerKey(
        {
          description:
            'Target of the 99th percentile of answer times; batch tasks make way when it is missed.',
          example: '120',
        },
        1,
        MAXIMUM_MILLIS,
      ),
      250,
      '250',
    ),
    default_deadline_milliseconds: optional(
      integerKey(
        {
          description: 'Deadline of a request that names none.',
          example: '1500',
        },
        1,
        MAXIMUM_MILLIS,
      ),
      2000,
      '2000',
    ),
    requests_per_second: optional(
      integerKey(
        {
          description:
            'Requests a second that one entry admits; 0 is no limit.',
          example: '400',
        },
        0,
        1_000_000,
      ),
      0,
      '0',
    ),
    idempotent_methods: optional(
      choiceListKey(
        {
          description: 'Methods whose requests may be repeated.',
          example: 'GET, HEAD, PUT',
        },
        HTTP_METHODS,
      ),
      ['GET', 'HEAD', 'OPTIONS'] as readonly string[],
      'GET, HEAD, OPTIONS',
    ),
  },
  {named: true},
);

export const TEAM_SCHEMA: DocumentSchema = {
  title: 'The branch of a team',
  sections: [quotaSection, shareSection, jobsSection, serviceSection],
};
