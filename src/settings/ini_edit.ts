import {assignmentOf, sectionNameOf} from './ini_document.js';

/** Changes of single keys in a text whose other lines stay as they are. */

const VALUE_IN_LINE = /^([^=]*=[ \t]*)([^;#]*?)([ \t]*(?:[;#].*)?\r?)$/;

/** The text with the key of the section set; false is left out where it can. */
export function withBooleanKey(
  text: string,
  section: string,
  key: string,
  value: boolean,
): string {
  const lines = text.split('\n');
  const header = lines.findIndex(line => isHeaderOf(line, section));
  if (header < 0) return value ? withSection(text, section, key) : text;
  for (let index = header + 1; index < lines.length; index++) {
    if (sectionNameOf(lines[index]) !== undefined) break;
    if (!isAssignmentOf(lines[index], key)) continue;
    lines[index] = lines[index].replace(VALUE_IN_LINE, `$1${value}$3`);
    return lines.join('\n');
  }
  const lineEnd = lines[header].endsWith('\r') ? '\r' : '';
  lines.splice(header + 1, 0, `${key} = ${value}${lineEnd}`);
  return lines.join('\n');
}

/** The text with a new section at its end. */
function withSection(text: string, section: string, key: string): string {
  const divider = text === '' ? '' : text.endsWith('\n') ? '\n' : '\n\n';
  return `${text}${divider}[${section}]\n${key} = true\n`;
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
