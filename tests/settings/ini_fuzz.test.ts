import test from 'ava';
import fc from 'fast-check';
import {ResultCodes} from '../../src/observability/result_codes.js';
import {parseEntrySettings} from '../../src/settings/process_settings.js';
import {
  parseFleetSettings,
  parseTeamSettings,
  withFailureDomainOut,
} from '../../src/settings/settings_branches.js';
import {SettingsError} from '../../src/settings/settings_fault.js';

const FRAGMENTS = [
  '[leases]',
  '[vm a.b]',
  '[__proto__]',
  '[failure_domain tema]',
  'out = true',
  '__proto__ = 1',
  '__proto__[] = 1',
  'constructor = x',
  'toString = 1',
  'task_lease_seconds = 5',
  '"a":"b" = \'{"x":1}\'',
  '= 1',
  '[',
  ']',
  '[]',
  "out = '",
  '\u0000',
  '\ud800',
];

const texts = fc
  .array(fc.oneof(fc.constantFrom(...FRAGMENTS), fc.string({unit: 'binary'})))
  .map(lines => lines.join('\n'));

test('should return settings or coded errors for any text', t => {
  fc.assert(
    fc.property(texts, text => {
      for (const result of [
        parseFleetSettings(text),
        parseTeamSettings('team', text),
      ]) {
        if (result.faults && result.faults.length === 0) return false;
      }
      try {
        parseEntrySettings('entry.ini', text);
        return false;
      } catch (error) {
        if (!(error instanceof SettingsError)) throw error;
        return error.resultCode.number === ResultCodes.SETTINGS_INVALID.number;
      }
    }),
    {seed: 5, numRuns: 2000},
  );
  t.false('1' in {});
  t.is(Object.keys(Object.prototype).length, 0);
});

test('should set a failure domain in any valid text', t => {
  fc.assert(
    fc.property(texts, fc.boolean(), (text, out) => {
      if (parseFleetSettings(text).faults) return true;
      const changed = parseFleetSettings(
        withFailureDomainOut(text, 'tema', out),
      );
      return changed.settings?.failureDomainsOut.has('tema') === out;
    }),
    {seed: 6, numRuns: 2000},
  );
  t.pass();
});
