import {
  addressKey,
  choiceKey,
  nameKey,
  optional,
  pathKey,
  required,
} from './settings_keys.js';
import type {KeySchema} from './settings_keys.js';
import {defineSection} from './settings_schema.js';

/** Sections that the settings files of entries and agents share. */

export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;

export const LOG_FORMATS = ['auto', 'json', 'text'] as const;

export const placeKeys = {
  id: required(
    nameKey({
      description: 'Names the process; unique in the fleet.',
      example: 'entry-1',
    }),
  ),
  failure_domain: required(
    nameKey({
      description: 'The failure domain of its VM.',
      example: 'kaneshie',
    }),
  ),
  region: required(
    nameKey({description: 'The region of its VM.', example: 'accra'}),
  ),
};

export function listenKey(description: string): KeySchema<string> {
  return required(addressKey({description, example: '10.1.0.4:7070'}));
}

export function advertisedKey(
  description: string,
): KeySchema<string | undefined> {
  return optional(
    addressKey({description, example: '10.1.0.4:7070'}),
    undefined,
    'the address it listens on',
  );
}

function certificateKey(
  description: string,
  example: string,
): KeySchema<string | undefined> {
  return optional(pathKey({description, example}), undefined, 'none');
}

export const tlsSection = defineSection(
  'tls',
  'Mutual TLS between processes: all three paths or none.',
  {
    certificate: certificateKey(
      "The process's certificate in PEM.",
      '/etc/burdockmoor/process.crt',
    ),
    key: certificateKey(
      "The certificate's private key in PEM.",
      '/etc/burdockmoor/process.key',
    ),
    authority: certificateKey(
      'The authority that signs the certificates of all processes, in PEM.',
      '/etc/burdockmoor/authority.crt',
    ),
  },
);

export const logsSection = defineSection('logs', 'Logs on standard output.', {
  level: optional(
    choiceKey(
      {description: 'The lowest level that is written.', example: 'info'},
      LOG_LEVELS,
    ),
    'info',
    'info',
  ),
  format: optional(
    choiceKey(
      {
        description: 'auto writes text on a terminal and JSON lines elsewhere.',
        example: 'json',
      },
      LOG_FORMATS,
    ),
    'auto',
    'auto',
  ),
});
