import {FLEET_SCHEMA, TEAM_SCHEMA} from '../../src/settings/branch_schemas.js';
import {AGENT_SCHEMA} from '../../src/settings/agent_schema.js';
import {ENTRY_SCHEMA} from '../../src/settings/entry_schema.js';
import type {
  DocumentSchema,
  SectionSchema,
} from '../../src/settings/settings_schema.js';
import {GENERATED_PAGE_COMMENT, joinBlocks, markdownTable} from './markdown.js';

/** Generates the page of all settings from their schemas. */
export function settingsPage(): string {
  return joinBlocks([
    GENERATED_PAGE_COMMENT,
    '# Settings',
    'Settings are INI texts. A line is `[section]`, `[section NAME]`, `key = value`, a comment after `;` or `#`, or empty. The names of keys include their units. An unknown key, a value out of range, a duplicate section or key and a line of any other form are errors. All errors of a text are reported together, each with line, section, key and the accepted values, under result code 400; a process with an invalid file exits with status 2, and `burdockmoord --check-settings FILE` only checks a file.',
    'The branch `fleet` and one branch for each team are kept in the store. They are changed with `burdockmoor settings` (see [CLI.md](CLI.md)) and take effect everywhere within seconds, without a restart. A missing branch or section means the defaults. The settings files are read once, at startup.',
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
    key.acceptedValues,
    key.defaultDescription,
    `\`${key.example}\``,
  ]);
  const headings = ['key', 'meaning', 'accepted', 'default', 'example'];
  return [
    `### \`${header}\``,
    section.description,
    markdownTable(headings, rows),
  ];
}
