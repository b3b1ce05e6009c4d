/**
 * What each folder of `src/` may import: the folders besides its own, and the
 * packages and Node modules. The linter enforces this list.
 */
export const importRules = {
  utilities: {
    folders: [],
    packages: ['most', 'pure-rand', 'hdr-histogram-js', 'modern-errors'],
  },
  observability: {
    folders: ['utilities'],
    packages: ['consola', 'hdr-histogram-js', 'modern-errors', 'node:fs'],
  },
  settings: {
    folders: ['utilities', 'observability'],
    packages: ['ini', 'valibot', 'node:fs', 'node:path'],
  },
  protocol: {
    folders: ['utilities', 'observability'],
    packages: ['@grpc/grpc-js', '@bufbuild/protobuf', 'node:fs', 'node:net'],
  },
  http: {
    folders: ['utilities', 'observability'],
    packages: ['node:http', 'node:net', 'node:stream'],
  },
  platform: {
    folders: ['utilities', 'backends', 'decisions'],
    packages: ['valibot', 'node:fs'],
  },
  decisions: {
    folders: ['utilities', 'observability', 'settings', 'backends'],
    packages: ['pure-rand', 'hdr-histogram-js'],
  },
  backends: {
    folders: ['utilities', 'observability', 'settings'],
    packages: ['undici', 'node:crypto', 'node:fs', 'most'],
  },
  agent: {
    folders: [
      'utilities',
      'http',
      'observability',
      'settings',
      'protocol',
      'decisions',
      'backends',
    ],
    packages: ['most', 'node:crypto', 'node:http'],
  },
  entry: {
    folders: [
      'utilities',
      'http',
      'observability',
      'settings',
      'protocol',
      'decisions',
      'backends',
    ],
    packages: [
      'most',
      'node:crypto',
      'node:http',
      'node:https',
      'node:net',
      'node:stream',
      'node:fs',
      'node:zlib',
    ],
  },
  daemon: {
    folders: [
      'utilities',
      'http',
      'observability',
      'settings',
      'protocol',
      'decisions',
      'backends',
      'platform',
      'agent',
      'entry',
    ],
    packages: ['citty', 'node:process', 'node:fs', 'node:crypto', 'node:http'],
  },
  cli: {
    folders: ['utilities', 'observability', 'settings'],
    packages: [
      'citty',
      'consola',
      'undici',
      'node:process',
      'node:fs',
      'node:readline',
    ],
  },
};
