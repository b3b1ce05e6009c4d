import fc from 'fast-check';

const text = fc.oneof(
  fc.constantFrom('', 'vm-1', 'depot', 'kept', 'run-1', 'tema', 'finished'),
  fc.constantFrom('__proto__', 'a'.repeat(300), '/v1/vms', '/%ff', 'GET'),
  fc.string({unit: 'binary'}),
);
const small = fc.constantFrom(0, 1, 2, 5, 7, 2 ** 32 - 1);
const large = fc.oneof(small, fc.constant(Number.MAX_SAFE_INTEGER));
const real = fc.oneof(fc.constantFrom(0, 1, NaN, -1, Infinity), fc.double());
const size = fc.option(
  fc.record({
    milliprocessors: small,
    memoryMegabytes: small,
    accelerators: small,
  }),
  {nil: undefined},
);
const flag = fc.boolean();
const address = fc.constantFrom(
  ...['127.0.0.1:1', '', ':', '::', '[::1', 'a b', 'x://y', '%', '#', '1:2:3'],
);
const several = <T>(item: fc.Arbitrary<T>) => fc.array(item, {maxLength: 3});
const wholeName = fc.record({
  ...{team: text, job: text, task: small, attempt: small},
});
const name = fc.option(wholeName, {nil: undefined});
const header = fc.record({name: text, value: text});
const executor = fc.record({
  ...{service: text, team: text, slots: small, inFlight: small, queued: small},
  ...{serviceMillis: real, tailMillis: real, draining: flag},
  unavailable: flag,
});
const report = fc.record({
  ...{name, outcome: text, checkpoint: text, result: text, reason: text},
  ...{resultCode: small, ranMillis: large, used: size},
});
const load = fc.record({
  ...{inFlight: small, queued: small},
  ...{serviceMicros: small, tailMicros: small},
});
const start = fc.record({
  ...{name, kind: text, size, urgent: flag, payload: text, checkpoint: text},
  ...{expectedRunMillis: large, watcher: flag, evictable: flag},
});
/** Shard 1 has an owner, whose epoch is 5; a higher one would fence it. */
const owner = fc.oneof(
  fc.record({shard: fc.constant(1), epoch: fc.constantFrom(0, 4, 5)}),
  fc.record({shard: fc.constantFrom(0, 2, 2 ** 32 - 1), epoch: large}),
);
const withOwner = <T extends object>(fields: fc.Arbitrary<T>) =>
  fc.tuple(owner, fields).map(([first, second]) => ({...first, ...second}));

const entryDescription = fc.record({
  ...{entryId: text, processAddress: address, callerAddress: address},
  ...{failureDomain: text, nonce: text, stopping: flag},
});

const document = fc.record({
  ...{branch: text, revision: large, version: small},
  text: fc.oneof(text, fc.constant('[leases]\ntask_lease_seconds = 9\n')),
});

/**
 * Well-formed replies with drawn fields, by the name of the call. Leases on
 * shard 1 have no newer epoch than its owner's, who would be fenced by one.
 */
export const REPLIES: Readonly<Record<string, fc.Arbitrary<object>>> = {
  heartbeat: fc.record({
    ...{resync: flag, settingsRevision: large, settingsAgeMillis: small},
    ...{nextHeartbeatMillis: small, viewVersion: small, session: small},
    ...{settings: several(document), entryId: text, leaseMillis: small},
    leases: several(owner),
    entries: several(fc.record({entryId: text, address, failureDomain: text})),
  }),
  reportAttempts: fc.record({recorded: several(wholeName), notOwner: flag}),
  serve: fc.record({
    ...{outcome: fc.constantFrom('answered', 'notRun', 'unknown', 'x', '')},
    ...{requestId: text, resultCode: small, status: small, reason: text},
    ...{headers: several(header), retryAfterMillis: small},
    ...{body: fc.uint8Array({maxLength: 20}), executor: fc.option(executor)},
  }),
  startAttempts: fc.record({
    results: several(
      fc.record({name, accepted: flag, resultCode: small, reason: text}),
    ),
  }),
  stopAttempts: fc.record({accepted: flag, resultCode: small}),
  queryAttempts: fc.record({
    ...{accepted: flag, resultCode: small, incarnation: text},
    states: several(
      fc.record({name, running: flag, report: fc.option(report)}),
    ),
  }),
  dumpState: fc.record({json: text}),
};

/** Well-formed messages with drawn fields, by the name of the call. */
export const MESSAGES: Readonly<Record<string, fc.Arbitrary<object>>> = {
  heartbeat: fc.record({
    ...{agentId: text, incarnation: text, failureDomain: text, region: text},
    ...{rack: text, address, sequence: large, agentTime: large},
    ...{capacity: size, committed: size, executors: several(executor)},
    ...{settingsRevision: large, branches: several(text), draining: flag},
    ...{runningAttempts: small, used: size, stopping: flag, recovering: flag},
    ...{session: fc.constantFrom(0, 1), baseDistance: small, changed: small},
    ...{viewVersion: small, loads: several(load)},
    interference: several(
      fc.record({service: text, taskKind: text, slowdown: real}),
    ),
  }),
  reportAttempts: fc.record({
    ...{agentId: text, incarnation: text, shard: small},
    reports: several(report),
  }),
  forwardCall: fc.record({
    ...{method: text, path: text, headers: several(header)},
    body: fc.uint8Array(),
  }),
  exchangePeers: fc.record({
    ...{entryId: text, settingsRevision: large, settingsAgeMillis: small},
    sender: fc.option(entryDescription, {nil: undefined}),
  }),
  serve: fc.record({
    ...{requestId: text, service: text, team: text, method: text, path: text},
    ...{headers: several(header), body: fc.uint8Array()},
    ...{deadlineMillis: fc.nat(5_000), idempotent: flag},
  }),
  startAttempts: withOwner(
    fc.record({
      ...{agentId: text, incarnation: text, agentTime: large},
      ...{settingsRevision: small, starts: several(start)},
    }),
  ),
  stopAttempts: withOwner(
    fc.record({
      stops: several(fc.record({name, checkpoint: flag, reason: text})),
    }),
  ),
  queryAttempts: withOwner(fc.record({names: several(wholeName)})),
  dumpState: fc.constant({}),
};
