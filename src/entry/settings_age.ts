import type {SettingsView} from '../settings/settings_view.js';

/** The largest age that a message holds. */
const MAXIMUM_AGE_MILLIS = 2 ** 32 - 1;

/** The age of the settings' confirmation, as messages carry it. */
export function settingsAgeMillis(settings: SettingsView, now: number): number {
  const ageMillis = settings.confirmedAgeMillis(now);
  return Math.ceil(Math.min(ageMillis, MAXIMUM_AGE_MILLIS));
}
