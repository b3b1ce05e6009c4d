import {ResultCodes} from '../observability/result_codes.js';
import {BaseError} from '../utilities/base_error.js';

/** One thing that is wrong with a settings text. */
export interface SettingsFault {
  /** The file, or the branch as `settings/<branch>`. */
  readonly file: string;
  /** Empty before the first section. */
  readonly section: string;
  /** Empty when the fault is the section's own. */
  readonly key: string;
  readonly message: string;
  /** What would be accepted; empty when the message says it. */
  readonly accepted: string;
  /** Counts from 1; 0 when something is missing. */
  readonly line: number;
}

/** Settings that can't be used; lists every fault of the text. */
export const SettingsError = BaseError.subclass('SettingsError', {
  props: {
    resultCode: ResultCodes.SETTINGS_INVALID,
    faults: [] as readonly SettingsFault[],
  },
});

/** One line for people: where, what, and what would be accepted. */
export function formatFault(fault: SettingsFault): string {
  const line = fault.line > 0 ? `:${fault.line}` : '';
  const section = fault.section === '' ? '' : ` [${fault.section}]`;
  const key = fault.key === '' ? '' : ` ${fault.key}`;
  const accepted = fault.accepted === '' ? '' : ` Accepted: ${fault.accepted}.`;
  return `${fault.file}${line}${section}${key}: ${fault.message}${accepted}`;
}

/** The error that reports all the faults at once. */
export function settingsError(
  file: string,
  faults: readonly SettingsFault[],
): InstanceType<typeof SettingsError> {
  const {number, name} = ResultCodes.SETTINGS_INVALID;
  const lines = faults.map(fault => `  ${formatFault(fault)}`);
  const title = `${number} ${name}: ${file} has ${faults.length} fault(s).`;
  return new SettingsError([title, ...lines].join('\n'), {props: {faults}});
}
