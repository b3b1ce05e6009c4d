import type {SettingsView} from '../settings/settings_view.js';

/** Largest age that fits into the uint32 field of a message. */
const MAXIMUM_AGE_MILLIS = 2 ** 32 - 1;

/** Returns the time since the settings were confirmed, as sent in messages. */
export function settingsAgeMillis(settings: SettingsView, now: number): number {
  const ageMillis = settings.confirmedAgeMillis(now);
  return Math.ceil(Math.min(ageMillis, MAXIMUM_AGE_MILLIS));
}
