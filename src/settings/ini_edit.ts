import {assignmentOf, sectionNameOf} from './ini_document.js';

/** Changes of single keys in a text whose other lines stay as they are. */

const VALUE_IN_LINE = /^([^=]*=[ \t]*)([^;#]*?)([ \t]*(?:[;#].*)?\r?)$/;

/** The text with the key set; a section isn't added only to say false. */
export function withBooleanKey(
  text: string,
  section: string,
  key: string,
  value: boolean,
): string {
  if (!value && !hasSection(text, section)) return text;
  return withKey(text, section, key, String(value));
}

/** The text with the key of the section set; a new section goes to its end. */
export function withKey(
  text: string,
  section: string,
  key: string,
  value: string,
): string {
  const lines = text.split('\n');
  const header = lines.findIndex(line => isHeaderOf(line, section));
  if (header < 0) return withSection(text, section, `${key} = ${value}`);
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

/** The text with a new section at its end. */
function withSection(text: string, section: string, line: string): string {
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
