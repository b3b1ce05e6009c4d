import {assignmentOf, sectionNameOf} from './ini_document.js';

/** Edits single keys of an INI text and leaves its other lines unchanged. */

const VALUE_IN_LINE = /^([^=]*=[ \t]*)([^;#]*?)([ \t]*(?:[;#].*)?\r?)$/;

/** Returns the text with the key set; false adds no section to the text. */
export function withBooleanKey(
  text: string,
  section: string,
  key: string,
  value: boolean,
): string {
  if (!value && !hasSection(text, section)) return text;
  return withKey(text, section, key, String(value));
}

/** Returns the text with the key set; appends the section if it is missing. */
export function withKey(
  text: string,
  section: string,
  key: string,
  value: string,
): string {
  const lines = text.split('\n');
  const header = lines.findIndex(line => isHeaderOf(line, section));
  if (header < 0) return withNewSection(text, section, `${key} = ${value}`);
  for (let index = header + 1; index < lines.length; index++) {
    if (sectionNameOf(lines[index]) !== undefined) break;
    if (!isAssignmentOf(lines[index], key)) continue;
    lines[index] = withValue(lines[index], value);
    return lines.join('\n');
  }
  const lineEnd = lines[header].endsWith('\r') ? '\r' : '';
  lines.splice(header + 1, 0, `${key} = ${value}${lineEnd}`);
  return lines.join('\n');
}

/** Returns the text with a new section at its end. */
function withNewSection(text: string, section: string, line: string): string {
  const divider = text === '' ? '' : text.endsWith('\n') ? '\n' : '\n\n';
  return `${text}${divider}[${section}]\n${line}\n`;
}

function withValue(line: string, value: string): string {
  return line.replace(
    VALUE_IN_LINE,
    (_line, start: string, _old: string, end: string) =>
      `${start}${value}${end}`,
  );
}

function hasSection(text: string, section: string): boolean {
  return text.split('\n').some(line => isHeaderOf(line, section));
}

function isHeaderOf(line: string, section: string): boolean {
  const name = sectionNameOf(line);
  if (name === undefined) return false;
  return name.replace(/\s+/, ' ') === section;
}

function isAssignmentOf(line: string, key: string): boolean {
  if (/^\s*[;#]/.test(line)) return false;
  return assignmentOf(line)?.key === key;
}
