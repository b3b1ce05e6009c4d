import {BaseError} from '../utilities/base_error.js';
import {ExitCodes} from './exit_codes.js';
import type {ExitCode} from './exit_codes.js';

/** Ends the tool with an exit code and a message for people. */
export const ToolError = BaseError.subclass('ToolError', {
  props: {
    exitCode: ExitCodes.FAULT as ExitCode,
    /** The answer of the entry, if there is one. */
    answer: {} as Readonly<Record<string, unknown>>,
  },
});

export function toolError(
  exitCode: ExitCode,
  message: string,
  answer: Readonly<Record<string, unknown>> = {},
): InstanceType<typeof ToolError> {
  return new ToolError(message, {props: {exitCode, answer}});
}

export function usageError(message: string): InstanceType<typeof ToolError> {
  return toolError(ExitCodes.USAGE, message);
}
