import test from 'ava';
import {RequestLimiter} from '../../src/decisions/admission/request_limiter.js';
import {readCallerRequest} from '../../src/entry/requests/caller_request_reader.js';
import {ServiceLimits} from '../../src/entry/requests/service_limits.js';
import {SettingsView} from '../../src/settings/settings_view.js';

function settingsOf(revision: number, text: string): SettingsView {
  const view = new SettingsView();
  view.apply({branch: 'sfax', revision, version: revision, text});
  return view;
}

test('should remove the limit of a service that a branch no longer configures', t => {
  const limiter = new RequestLimiter();
  const limits = new ServiceLimits(limiter);
  const text = '[service orders]\nrequests_per_second = 2\n';
  limits.apply(settingsOf(1, text), 0);
  t.true(limiter.admit('sfax', 'orders', 0).admitted);
  t.false(limiter.admit('sfax', 'orders', 0).admitted);
  limits.apply(settingsOf(2, ''), 0);
  t.true(limiter.admit('sfax', 'orders', 0).admitted);
});

test('should attribute a request to the owning team whatever team the caller names', t => {
  const call = {
    method: 'GET',
    target: '/v1/services/orders/x',
    segments: [],
    query: new URLSearchParams(),
    headers: new Map([['x-team', 'other']]),
    body: new Uint8Array(),
  };
  const request = readCallerRequest(
    call,
    'orders',
    settingsOf(1, '[service orders]\n'),
  );
  t.is(request.team, 'sfax');
});
