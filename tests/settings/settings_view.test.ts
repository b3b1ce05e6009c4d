import test from 'ava';
import fc from 'fast-check';
import {SettingsView} from '../../src/settings/settings_view.js';
import type {SettingsDocument} from '../../src/settings/settings_types.js';

function fleetText(revision: number, leaseSeconds: number): SettingsDocument {
  const text = `[leases]\ntask_lease_seconds = ${leaseSeconds}\n`;
  return {branch: 'fleet', revision, version: revision, text};
}

test('should apply a newer text and ignore an older one', t => {
  const view = new SettingsView();
  t.is(view.apply(fleetText(7, 30)), 'applied');
  t.is(view.apply(fleetText(7, 40)), 'older');
  t.is(view.apply(fleetText(5, 50)), 'older');
  t.is(view.fleet.taskLeaseMillis, 30_000);
});

test('should keep the last valid text while a newer one is invalid', t => {
  const view = new SettingsView();
  view.apply(fleetText(3, 30));
  const rejected = view.apply(fleetText(9, 1000));
  t.true(typeof rejected === 'object' && rejected.faults.length === 1);
  t.is(view.fleet.taskLeaseMillis, 30_000);
  t.is(view.apply(fleetText(8, 20)), 'older');
  t.deepEqual(
    view.documentsNewerThan(0).map(document => document.revision),
    [3, 9],
  );
  t.is(view.apply(fleetText(10, 20)), 'applied');
  t.deepEqual(
    view.documentsNewerThan(0).map(document => document.revision),
    [10],
  );
});

test('should return the age of the newest confirmation', t => {
  const view = new SettingsView();
  t.is(view.confirmedAgeMillis(100), Infinity);
  view.confirm(4, 1000, 300);
  view.confirm(3, 1000, 900);
  t.is(view.revision, 4);
  t.is(view.confirmedAgeMillis(1100), 400);
});

test('should return defaults for a team without a branch', t => {
  const view = new SettingsView();
  t.is(view.team('sfax').weight, 1);
  t.is(view.service('orders'), undefined);
  const text = '[service orders]\ntarget_tail_milliseconds = 80\n';
  view.apply({branch: 'sfax', revision: 2, version: 1, text});
  t.is(view.service('orders')?.targetTailMillis, 80);
  t.deepEqual(view.documentsNewerThan(0, ['fleet']), []);
  t.deepEqual(view.branches(), ['sfax']);
});

test('should report services that belong to another team', t => {
  const view = new SettingsView();
  const text = '[service orders]\n[service stock]\n';
  view.apply({branch: 'sfax', revision: 2, version: 1, text});
  t.deepEqual(view.ownershipFaults('sfax', text), []);
  const faults = view.ownershipFaults('rival', '[service orders]\n');
  t.is(faults.length, 1);
  t.is(faults[0].message, 'The service belongs to team sfax.');
});

test('should end with the newest text in any order of arrival', t => {
  const arrivals = fc.array(fc.integer({min: 1, max: 20}), {minLength: 1});
  fc.assert(
    fc.property(arrivals, revisions => {
      const view = new SettingsView();
      let highest = 0;
      for (const revision of revisions) {
        view.apply(fleetText(revision, 3 + revision));
        highest = Math.max(highest, revision);
        if (view.fleet.taskLeaseMillis !== (3 + highest) * 1000) return false;
      }
      return true;
    }),
    {seed: 11},
  );
  t.pass();
});
