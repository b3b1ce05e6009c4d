import {readFileSync} from 'node:fs';
import {messageOf} from '../utilities/base_error.js';
import {createUsageError} from './tool_error.js';

/** @throws ToolError if the file can't be read. */
export function readTextFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw createUsageError(`${file} can't be read: ${messageOf(error)}.`);
  }
}
