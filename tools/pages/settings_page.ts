import {FLEET_SCHEMA, TEAM_SCHEMA} from '../../src/settings/branch_schemas.js';
import {AGENT_SCHEMA} from '../../src/settings/agent_schema.js';
import {ENTRY_SCHEMA} from '../../src/settings/entry_schema.js';
import type {
  DocumentSchema,
  SectionSchema,
} from '../../src/settings/settings_schema.js';
import {GENERATED_NOTE, joinBlocks, markdownTable} from './markdown.js';

/** The page of all settings, from their schemas. */
export function settingsPage(): string {
  return joinBlocks([
    GENERATED_NOTE,
    '# Settings',
    'Settings are INI texts. A line is `[section]`, `[section NAME]`, `key = value`, a comment behind `;` or `#`, or empty. Units stand in the names of keys. A key that nothing knows, a value out of range, a section or key that stands twice and a line of another form are faults. All faults of a text are reported at once, each with line, section, key and the accepted values, under result code 400; a process with a faulty file exits with status 2, and `burdockmoord --check-settings FILE` only checks.',
    'The branches `fleet` and one for each team stand in the store. They are changed by `burdockmoor settings` (see [CLI.md](CLI.md)) and are in force everywhere within seconds, without a restart. A branch or section that is not there means the defaults. The settings files are read once, at the start.',
    ...documentBlocks(FLEET_SCHEMA),
    ...documentBlocks(TEAM_SCHEMA),
    ...documentBlocks(ENTRY_SCHEMA),
    ...documentBlocks(AGENT_SCHEMA),
  ]);
}

function documentBlocks(schema: DocumentSchema): string[] {
  return [`## ${schema.title}`, ...schema.sections.flatMap(sectionBlocks)];
}

function sectionBlocks(section: SectionSchema): string[] {
  const header = section.named ? `[${section.name} NAME]` : `[${section.name}]`;
  const rows = Object.entries(section.keys).map(([name, key]) => [
    `\`${name}\``,
    key.description,
    key.accepted,
    key.fallbackText,
    `\`${key.example}\``,
  ]);
  const headings = ['key', 'meaning', 'accepted', 'default', 'example'];
  return [
    `### \`${header}\``,
    section.description,
    markdownTable(headings, rows),
  ];
}
