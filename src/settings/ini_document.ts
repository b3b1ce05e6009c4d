import {unsafe} from 'ini';
import type {SettingsFault} from './settings_fault.js';

/**
 * INI text as sections of keys with their line numbers. Stricter than the
 * package that decodes names and values: what that would skip is a fault here.
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

/** The lines of a text, without their ends. */
export function iniLines(text: string): string[] {
  return text.split(/\r?\n/);
}

/** The name in a section's line; undefined for any other line. */
export function sectionNameOf(line: string): string | undefined {
  const match = SECTION_LINE.exec(line);
  return match ? decode(match[1]) : undefined;
}

/** Key and value of a line; undefined when it has no `=`. */
export function assignmentOf(
  line: string,
): {key: string; value: string} | undefined {
  const equals = line.indexOf('=');
  if (equals < 0) return undefined;
  const key = decode(line.slice(0, equals));
  return {key, value: decode(line.slice(equals + 1))};
}

/** Reads a text; the faults are all that it has, in the order of its lines. */
export function parseIniDocument(file: string, text: string): IniDocument {
  return new IniReader(file).read(text);
}

/** Unquotes, unescapes and removes a comment at the end of the line. */
function decode(text: string): string {
  const decoded: unknown = unsafe(text);
  return typeof decoded === 'string' ? decoded.trim() : text.trim();
}

interface OpenSection {
  readonly name: string;
  readonly line: number;
  readonly values: Map<string, IniValue>;
}

class IniReader {
  private readonly sections = new Map<string, OpenSection>();
  private readonly faults: SettingsFault[] = [];
  private current: OpenSection = {name: '', line: 0, values: new Map()};

  constructor(private readonly file: string) {}

  read(text: string): IniDocument {
    if (text.length > MAXIMUM_TEXT_CHARACTERS) {
      this.fault(0, '', `More than ${MAXIMUM_TEXT_CHARACTERS} characters.`);
      return {sections: this.sections, faults: this.faults};
    }
    let number = 0;
    for (const line of iniLines(text)) {
      number++;
      this.readLine(line, number);
    }
    return {sections: this.sections, faults: this.faults};
  }

  private readLine(line: string, number: number): void {
    if (CONTROL_CHARACTER.test(line)) {
      this.fault(number, '', 'The line has a control character.');
      return;
    }
    if (IGNORED_LINE.test(line)) return;
    const name = sectionNameOf(line);
    if (name !== undefined) {
      this.openSection(name, number);
      return;
    }
    if (SECTION_START.test(line)) {
      this.fault(number, '', 'The section is not closed by a bracket.');
      return;
    }
    this.readAssignment(line, number);
  }

  private openSection(name: string, line: number): void {
    // Keys of a faulty section are still read, so that their faults show too.
    this.current = {name, line, values: new Map()};
    if (name === '') {
      this.fault(line, '', 'The section has no name.');
      return;
    }
    if (FORBIDDEN_NAMES.has(name)) {
      this.fault(line, '', 'No section may have this name.');
      return;
    }
    const earlier = this.sections.get(name);
    if (earlier) {
      this.fault(line, '', `The section stands at line ${earlier.line} too.`);
      return;
    }
    this.sections.set(name, this.current);
  }

  private readAssignment(line: string, number: number): void {
    const assignment = assignmentOf(line);
    if (!assignment || assignment.key === '') {
      this.fault(number, '', 'The line is not of the form key = value.');
      return;
    }
    const {key, value} = assignment;
    if (FORBIDDEN_NAMES.has(key)) {
      this.fault(number, key, 'No key may have this name.');
      return;
    }
    if (this.current.line === 0) {
      this.fault(number, key, 'The key stands before the first section.');
      return;
    }
    const earlier = this.current.values.get(key);
    if (earlier) {
      this.fault(number, key, `The key stands at line ${earlier.line} too.`);
      return;
    }
    this.current.values.set(key, {text: value, line: number});
  }

  private fault(line: number, key: string, message: string): void {
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
