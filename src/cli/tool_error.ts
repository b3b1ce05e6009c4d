import {BaseError} from '../utilities/base_error.js';
import {ExitCodes} from './exit_codes.js';
import type {ExitCode} from './exit_codes.js';

/** Error that ends the tool with an exit code and a message. */
export const ToolError = BaseError.subclass('ToolError', {
  props: {
    exitCode: ExitCodes.FAULT as ExitCode,
    /** Details for JSON output, such as the body of the entry's response. */
    answer: {} as Readonly<Record<string, unknown>>,
  },
});

export function toolError(
  exitCode: ExitCode,
  message: string,
  details: Readonly<Record<string, unknown>> = {},
): InstanceType<typeof ToolError> {
  return new ToolError(message, {props: {exitCode, answer: details}});
}

export function usageError(message: string): InstanceType<typeof ToolError> {
  return toolError(ExitCodes.USAGE, message);
}
