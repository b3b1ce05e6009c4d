import {safeParse} from 'valibot';
import {parseIniDocument} from './ini_document.js';
import type {IniSection} from './ini_document.js';
import {nearestName} from './nearest_name.js';
import type {SettingsFault} from './settings_fault.js';
import {NAME_ACCEPTED, isName} from './settings_keys.js';
import type {KeySchema} from './settings_keys.js';

/** Schemas of settings texts, and validation of a text against a schema. */

export type KeySchemas = Readonly<Record<string, KeySchema<unknown>>>;

export interface SectionSchema<Keys extends KeySchemas = KeySchemas> {
  readonly name: string;
  /** True if the header has a name, as `[vm NAME]`; the section may repeat. */
  readonly named: boolean;
  readonly required: boolean;
  readonly description: string;
  readonly keys: Keys;
}

export interface DocumentSchema {
  readonly title: string;
  readonly sections: readonly SectionSchema[];
}

/** The values of a section, by key. */
export type SectionValues<Keys extends KeySchemas> = {
  readonly [Name in keyof Keys]: Keys[Name] extends KeySchema<infer Value>
    ? Value
    : never;
};

export function defineSection<const Keys extends KeySchemas>(
  name: string,
  description: string,
  keys: Keys,
  options: {named?: boolean; required?: boolean} = {},
): SectionSchema<Keys> {
  const {named = false, required = false} = options;
  return {name, named, required, description, keys};
}

/** The values of a settings text that matches its schema. */
export class ValidatedSettings {
  constructor(
    private readonly values: ReadonlyMap<string, ReadonlyMap<string, unknown>>,
  ) {}

  /** Returns the section's values; the defaults if the section is missing. */
  section<Keys extends KeySchemas>(
    schema: SectionSchema<Keys>,
  ): SectionValues<Keys> {
    return this.valuesAt(schema, schema.name);
  }

  has(schema: SectionSchema): boolean {
    return this.values.has(schema.name);
  }

  /** Returns the values of a named section's occurrences, by their names. */
  namedSections<Keys extends KeySchemas>(
    schema: SectionSchema<Keys>,
  ): Map<string, SectionValues<Keys>> {
    const named = new Map<string, SectionValues<Keys>>();
    const prefix = `${schema.name} `;
    for (const header of this.values.keys()) {
      if (!header.startsWith(prefix)) continue;
      named.set(nameInHeader(header), this.valuesAt(schema, header));
    }
    return named;
  }

  private valuesAt<Keys extends KeySchemas>(
    schema: SectionSchema<Keys>,
    header: string,
  ): SectionValues<Keys> {
    const given = this.values.get(header);
    const entries = Object.entries(schema.keys).map(([name, key]) => [
      name,
      given?.has(name) ? given.get(name) : key.defaultValue,
    ]);
    return Object.fromEntries(entries) as SectionValues<Keys>;
  }
}

export type ValidationResult =
  | {readonly settings: ValidatedSettings; readonly faults?: undefined}
  | {
      readonly settings?: undefined;
      readonly faults: readonly SettingsFault[];
    };

/** Validates a text against the schema and reports all of its errors. */
export function validateSettings(
  file: string,
  text: string,
  schema: DocumentSchema,
): ValidationResult {
  return new SettingsValidator(file, schema).check(text);
}

/** Returns the kind of a section: the first word of its header. */
function kindOf(header: string): string {
  return header.split(/\s/, 1)[0];
}

/** Returns the part of a section's header that follows the kind. */
function nameInHeader(header: string): string {
  return header.slice(kindOf(header).length).trim();
}

function headerText(schema: SectionSchema): string {
  return schema.named ? `[${schema.name} NAME]` : `[${schema.name}]`;
}

class SettingsValidator {
  private readonly faults: SettingsFault[] = [];
  private readonly values = new Map<string, Map<string, unknown>>();

  constructor(
    private readonly file: string,
    private readonly schema: DocumentSchema,
  ) {}

  check(text: string): ValidationResult {
    const document = parseIniDocument(this.file, text);
    this.faults.push(...document.faults);
    for (const section of document.sections.values()) {
      this.checkSection(section);
    }
    for (const schema of this.schema.sections) {
      if (!schema.required || document.sections.has(schema.name)) continue;
      this.reportMissingSection(schema);
    }
    if (this.faults.length === 0) {
      return {settings: new ValidatedSettings(this.values)};
    }
    const faults = this.faults.sort((left, right) => left.line - right.line);
    return {faults};
  }

  private checkSection(section: IniSection): void {
    const kind = kindOf(section.name);
    const schema = this.schema.sections.find(known => known.name === kind);
    if (!schema) {
      this.reportUnknownSection(section, kind);
      return;
    }
    if (!this.checkHeader(section, schema)) return;
    const values = new Map<string, unknown>();
    const header = schema.named
      ? `${schema.name} ${nameInHeader(section.name)}`
      : schema.name;
    this.values.set(header, values);
    for (const key of section.values.keys()) {
      this.checkKey(section, schema, key, values);
    }
    for (const [key, keySchema] of Object.entries(schema.keys)) {
      if (!keySchema.required || section.values.has(key)) continue;
      this.reportMissingKey(section.name, key, keySchema, section.line);
    }
  }

  private checkHeader(section: IniSection, schema: SectionSchema): boolean {
    const name = nameInHeader(section.name);
    if (schema.named && isName(name)) return true;
    if (!schema.named && name === '') return true;
    this.faults.push({
      file: this.file,
      section: section.name,
      key: '',
      message: `The header must have the form ${headerText(schema)}.`,
      accepted: schema.named ? `for NAME: ${NAME_ACCEPTED}` : '',
      line: section.line,
    });
    return false;
  }

  private checkKey(
    section: IniSection,
    schema: SectionSchema,
    key: string,
    values: Map<string, unknown>,
  ): void {
    const value = section.values.get(key)!;
    const place = {file: this.file, section: section.name, key};
    if (!Object.hasOwn(schema.keys, key)) {
      const known = Object.keys(schema.keys);
      const message = `Unknown key; the nearest known one is ${nearestName(key, known)}.`;
      const accepted = known.join(', ');
      this.faults.push({...place, message, accepted, line: value.line});
      return;
    }
    const keySchema = schema.keys[key];
    const result = safeParse(keySchema.schema, value.text);
    if (result.success) {
      values.set(key, result.output);
      return;
    }
    this.faults.push({
      ...place,
      message: `Invalid value: ${JSON.stringify(value.text)}.`,
      accepted: keySchema.acceptedValues,
      line: value.line,
    });
  }

  private reportUnknownSection(section: IniSection, kind: string): void {
    const known = this.schema.sections.map(schema => schema.name);
    this.faults.push({
      file: this.file,
      section: section.name,
      key: '',
      message: `Unknown section; the nearest known one is ${nearestName(kind, known)}.`,
      accepted: this.schema.sections.map(headerText).join(', '),
      line: section.line,
    });
  }

  private reportMissingSection(schema: SectionSchema): void {
    for (const [key, keySchema] of Object.entries(schema.keys)) {
      if (!keySchema.required) continue;
      this.reportMissingKey(schema.name, key, keySchema, 0);
    }
  }

  private reportMissingKey(
    section: string,
    key: string,
    schema: KeySchema<unknown>,
    line: number,
  ): void {
    this.faults.push({
      file: this.file,
      section,
      key,
      message: 'The key is missing.',
      accepted: schema.acceptedValues,
      line,
    });
  }
}
