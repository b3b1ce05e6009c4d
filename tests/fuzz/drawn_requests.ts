import fc from 'fast-check';

const METHODS = ['GET', 'POST', 'PUT', 'DELETE', 'HEAD', 'PATCH', 'OPTIONS'];
const SEGMENTS = [
  ...['v1', 'teams', 'depot', 'jobs', 'kept', 'watchers', 'cancel', 'confirm'],
  ...['close', 'explain', 'settings', 'fleet', 'history', 'services', 'rounds'],
  ...['failure-domains', 'vms', 'out', 'in', 'drain', 'undrain', 'state'],
  ...['metrics', 'settings-status', '', '.', '..', '__proto__', 'constructor'],
  ...['%', '%2', '%ff', '%00', '%2F', '%e2%82%ac', 'a'.repeat(300), '?limit=0'],
];
const HEADERS = [
  ...['x-deadline-milliseconds', 'x-idempotent', 'x-request-id', 'if-match'],
  ...['x-author', 'x-team', 'content-type', 'expect', 'x-forwarded-by-entry'],
];
const FIELDS = [
  ...['name', 'urgency', 'taskKind', 'tasks', 'milliprocessors', 'payload'],
  ...['memoryMegabytes', 'accelerators', 'expectedRunMillis', 'idempotent'],
  ...['maximumFailures', 'reason', 'by', '__proto__', 'surplus'],
];

const odd = fc.constantFrom('-1', '0', '1e400', 'NaN', '9007199254740993', '');
const latin = fc
  .array(fc.integer({min: 0x20, max: 0xff}), {maxLength: 40})
  .map(codes => String.fromCharCode(...codes));
const paths = fc.oneof(
  fc.array(fc.constantFrom(...SEGMENTS), {maxLength: 7}),
  fc.array(fc.webSegment(), {maxLength: 60}),
  fc.constantFrom(
    ['v1', 'teams', 'depot', 'jobs'],
    ['v1', 'teams', 'depot', 'jobs', 'kept', 'confirm'],
    ['v1', 'settings', 'sfax'],
    ['v1', 'services', 'rounds', 'stock'],
  ),
);
const values = fc.oneof(
  fc.jsonValue(),
  fc.double(),
  fc.string({unit: 'binary'}),
  fc.constantFrom('a.b', 'urgent', 1, 2, true, -1, 1e300, 'a'.repeat(17_000)),
);
export const submissions = fc
  .dictionary(fc.constantFrom(...FIELDS), values, {maxKeys: 4})
  .map(fields => JSON.stringify({name: 'drawn', ...fields}));
export const requests = fc.record({
  method: fc.constantFrom(...METHODS, 'POST', 'PUT'),
  path: paths.map(segments => `/${segments.join('/')}`),
  headers: fc.dictionary(
    fc.constantFrom(...HEADERS),
    fc.oneof(latin, odd, fc.constantFrom('true', '"0"', '1000')),
  ),
  body: fc.oneof(submissions, fc.json(), fc.string({unit: 'binary'})),
});
