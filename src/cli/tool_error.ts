import {BaseError} from '../utilities/base_error.js';
import {ExitCodes} from './exit_codes.js';
import type {ExitCode} from './exit_codes.js';

/** Error that ends the tool with an exit code and a message. */
export const ToolError = BaseError.subclass('ToolError', {
  props: {
    exitCode: ExitCodes.FAULT as ExitCode,
    /** Details for JSON output, such as the body of the entry's response. */
    details: {} as Readonly<Record<string, unknown>>,
  },
});

export function createToolError(
  exitCode: ExitCode,
  message: string,
  details: Readonly<Record<string, unknown>> = {},
): InstanceType<typeof ToolError> {
  return new ToolError(message, {props: {exitCode, details}});
}

export function createUsageError(
  message: string,
): InstanceType<typeof ToolError> {
  return createToolError(ExitCodes.USAGE, message);
}
