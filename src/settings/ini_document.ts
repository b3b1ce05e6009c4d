import {unsafe} from 'ini';
import type {SettingsFault} from './settings_fault.js';

/**
 * Parses INI text into sections and keys with their line numbers. Stricter than
 * the `ini` package, which decodes only the names and values here: a line that
 * the package would skip is reported as an error.
 */

const MAXIMUM_TEXT_CHARACTERS = 262_144;
const SECTION_LINE = /^\s*\[([^\]]*)\]\s*(?:[;#].*)?$/;
const SECTION_START = /^\s*\[/;
const IGNORED_LINE = /^\s*(?:[;#].*)?$/;
// eslint-disable-next-line no-control-regex
const CONTROL_CHARACTER = /[\u0000-\u0008\u000a-\u001f\u007f]/;
const FORBIDDEN_NAMES = new Set(['__proto__', 'constructor', 'prototype']);

export interface IniValue {
  readonly text: string;
  readonly line: number;
}

export interface IniSection {
  readonly name: string;
  readonly line: number;
  readonly values: ReadonlyMap<string, IniValue>;
}

export interface IniDocument {
  readonly sections: ReadonlyMap<string, IniSection>;
  readonly faults: readonly SettingsFault[];
}

/** Returns the lines of a text without their line endings. */
export function iniLines(text: string): string[] {
  return text.split(/\r?\n/);
}

/** Returns the name in a section header; undefined for any other line. */
export function sectionNameOf(line: string): string | undefined {
  const match = SECTION_LINE.exec(line);
  return match ? decodeText(match[1]) : undefined;
}

/** Returns the key and value of a line; undefined if it has no `=`. */
export function assignmentOf(
  line: string,
): {key: string; value: string} | undefined {
  const equals = line.indexOf('=');
  if (equals < 0) return undefined;
  const key = decodeText(line.slice(0, equals));
  return {key, value: decodeText(line.slice(equals + 1))};
}

/** Parses a text and reports all of its errors, in the order of the lines. */
export function parseIniDocument(file: string, text: string): IniDocument {
  return new IniParser(file).parse(text);
}

/** Removes quotes, escapes and a comment at the end of the line. */
function decodeText(text: string): string {
  const decoded: unknown = unsafe(text);
  return typeof decoded === 'string' ? decoded.trim() : text.trim();
}

interface MutableSection {
  readonly name: string;
  readonly line: number;
  readonly values: Map<string, IniValue>;
}

class IniParser {
  private readonly sections = new Map<string, MutableSection>();
  private readonly faults: SettingsFault[] = [];
  private current: MutableSection = {name: '', line: 0, values: new Map()};

  constructor(private readonly file: string) {}

  parse(text: string): IniDocument {
    if (text.length > MAXIMUM_TEXT_CHARACTERS) {
      this.addFault(
        0,
        '',
        `The text is longer than ${MAXIMUM_TEXT_CHARACTERS} characters.`,
      );
      return {sections: this.sections, faults: this.faults};
    }
    let number = 0;
    for (const line of iniLines(text)) {
      number++;
      this.parseLine(line, number);
    }
    return {sections: this.sections, faults: this.faults};
  }

  private parseLine(line: string, number: number): void {
    if (CONTROL_CHARACTER.test(line)) {
      this.addFault(number, '', 'The line contains a control character.');
      return;
    }
    if (IGNORED_LINE.test(line)) return;
    const name = sectionNameOf(line);
    if (name !== undefined) {
      this.openSection(name, number);
      return;
    }
    if (SECTION_START.test(line)) {
      this.addFault(number, '', 'The section header has no closing bracket.');
      return;
    }
    this.parseAssignment(line, number);
  }

  private openSection(name: string, line: number): void {
    // Keys of an invalid section are still parsed to report their errors too.
    this.current = {name, line, values: new Map()};
    if (name === '') {
      this.addFault(line, '', 'The section has no name.');
      return;
    }
    if (FORBIDDEN_NAMES.has(name)) {
      this.addFault(line, '', 'This section name is not allowed.');
      return;
    }
    const earlier = this.sections.get(name);
    if (earlier) {
      this.addFault(
        line,
        '',
        `The section is already defined at line ${earlier.line}.`,
      );
      return;
    }
    this.sections.set(name, this.current);
  }

  private parseAssignment(line: string, number: number): void {
    const assignment = assignmentOf(line);
    if (!assignment || assignment.key === '') {
      this.addFault(number, '', 'The line is not of the form key = value.');
      return;
    }
    const {key, value} = assignment;
    if (FORBIDDEN_NAMES.has(key)) {
      this.addFault(number, key, 'This key name is not allowed.');
      return;
    }
    if (this.current.line === 0) {
      this.addFault(number, key, 'The key is outside of any section.');
      return;
    }
    const earlier = this.current.values.get(key);
    if (earlier) {
      this.addFault(
        number,
        key,
        `The key is already set at line ${earlier.line}.`,
      );
      return;
    }
    this.current.values.set(key, {text: value, line: number});
  }

  private addFault(line: number, key: string, message: string): void {
    const section = this.current.name;
    this.faults.push({
      file: this.file,
      section,
      key,
      message,
      accepted: '',
      line,
    });
  }
}
