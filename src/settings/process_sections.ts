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

export const identityKeys = {
  id: required(
    nameKey({
      description: 'Name of the process; unique in the fleet.',
      example: 'entry-1',
    }),
  ),
  failure_domain: required(
    nameKey({
      description: 'Failure domain of the VM.',
      example: 'kaneshie',
    }),
  ),
  region: required(
    nameKey({description: 'Region of the VM.', example: 'accra'}),
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
    'the listen address',
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
  'Mutual TLS between processes; set all three paths or none.',
  {
    certificate: certificateKey(
      "Path of the process's certificate in PEM format.",
      '/etc/burdockmoor/process.crt',
    ),
    key: certificateKey(
      "Path of the certificate's private key in PEM format.",
      '/etc/burdockmoor/process.key',
    ),
    authority: certificateKey(
      'Path of the certificate of the authority that signs the certificates of all processes, in PEM format.',
      '/etc/burdockmoor/authority.crt',
    ),
  },
);

export const logsSection = defineSection(
  'logs',
  'Log lines on standard output.',
  {
    level: optional(
      choiceKey(
        {description: 'Lowest level that is written.', example: 'info'},
        LOG_LEVELS,
      ),
      'info',
      'info',
    ),
    format: optional(
      choiceKey(
        {
          description:
            'auto writes text to a terminal and JSON lines to any other output.',
          example: 'json',
        },
        LOG_FORMATS,
      ),
      'auto',
      'auto',
    ),
  },
);
