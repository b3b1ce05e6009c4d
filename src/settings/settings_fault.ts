import {ResultCodes} from '../observability/result_codes.js';
import {BaseError} from '../utilities/base_error.js';

/** An error in a settings text. */
export interface SettingsFault {
  /** The file, or the branch as `settings/<branch>`. */
  readonly file: string;
  /** Empty if the error is before the first section. */
  readonly section: string;
  /** Empty if the error concerns the whole section. */
  readonly key: string;
  readonly message: string;
  /** The accepted values; empty if the message states them. */
  readonly accepted: string;
  /** Line number from 1; 0 if the error belongs to no line. */
  readonly line: number;
}

/** Thrown for invalid settings; lists every error of the text. */
export const SettingsError = BaseError.subclass('SettingsError', {
  props: {
    resultCode: ResultCodes.SETTINGS_INVALID,
    faults: [] as readonly SettingsFault[],
  },
});

/** Formats an error as one line: location, message and accepted values. */
export function formatFault(fault: SettingsFault): string {
  const line = fault.line > 0 ? `:${fault.line}` : '';
  const section = fault.section === '' ? '' : ` [${fault.section}]`;
  const key = fault.key === '' ? '' : ` ${fault.key}`;
  const accepted = fault.accepted === '' ? '' : ` Accepted: ${fault.accepted}.`;
  return `${fault.file}${line}${section}${key}: ${fault.message}${accepted}`;
}

/** Creates the exception that reports all errors of a text at once. */
export function createSettingsError(
  file: string,
  faults: readonly SettingsFault[],
): InstanceType<typeof SettingsError> {
  const {number, name} = ResultCodes.SETTINGS_INVALID;
  const lines = faults.map(fault => `  ${formatFault(fault)}`);
  const title = `${number} ${name}: ${file} has ${faults.length} error(s).`;
  return new SettingsError([title, ...lines].join('\n'), {props: {faults}});
}
