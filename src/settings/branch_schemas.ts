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

/** Schemas of the operators' settings branch and of the teams' branches. */

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
  'A failure domain, identified by its name.',
  {
    out: optional(
      booleanKey({
        description:
          'While this is true, no task starts in the failure domain.',
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
  'A VM, identified by the id of its agent.',
  {
    drain: optional(
      booleanKey({
        description:
          'While this is true, the VM accepts no new work and its tasks move to other VMs.',
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
          'Time that an attempt keeps running after the last message from the owner of its shard.',
        example: '15',
      },
      3,
      30,
    ),
    15,
    '15',
  ),
});

export const settingsAgeSection = defineSection(
  'settings',
  'Maximum age of settings.',
  {
    fresh_seconds: optional(
      integerKey(
        {
          description:
            'An agent starts no task if its settings were last confirmed longer ago than this.',
          example: '4',
        },
        1,
        10,
      ),
      4,
      '4',
    ),
  },
);

export const heartbeatsSection = defineSection(
  'heartbeats',
  'Heartbeats from agents to entries.',
  {
    period_milliseconds: optional(
      integerKey(
        {
          description:
            'Interval between two heartbeats from an agent to an entry.',
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
          description:
            'Maximum share of requests that may be retries or hedges.',
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
            "Maximum share of a service's upstreams that may be ejected at a time.",
          example: '40',
        },
        0,
        90,
      ),
      40,
      '40',
    ),
  },
);

export const FLEET_SCHEMA: DocumentSchema = {
  title: 'The branch `fleet`',
  sections: [
    failureDomainSection,
    vmSection,
    leasesSection,
    settingsAgeSection,
    heartbeatsSection,
    requestsSection,
  ],
};

export const quotaSection = defineSection(
  'quota',
  'Maximum resources that the tasks of the team use at a time, over all VMs.',
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
        {description: 'Number of tasks that run at a time.', example: '200'},
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
  'Share of the team when the teams request more than the capacity of the fleet.',
  {
    weight: optional(
      decimalKey(
        {
          description:
            'Share of the team, relative to the weights of the other teams.',
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
        description: 'Urgency of a job that does not specify one.',
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
  'A service of the team, identified by its name.',
  {
    target_tail_milliseconds: optional(
      integerKey(
        {
          description:
            'Target for the 99th percentile of response times; batch tasks are throttled or evicted when it is missed.',
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
          description: 'Deadline of a request that does not specify one.',
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
            'Requests per second that one entry admits; 0 means no limit.',
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
          description: 'Methods whose requests may be retried.',
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
