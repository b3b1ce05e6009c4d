import gts from 'gts';
import {importRules} from './import_rules.js';

const folders = Object.keys(importRules);

/** Restricts the imports of one folder of `src/` to its list. */
function restrictImports(folder) {
  const {folders: allowed, packages} = importRules[folder];
  const forbidden = folders.filter(
    name => name !== folder && !allowed.includes(name),
  );
  const escaped = packages.map(name => name.replace(/[/.]/g, '\\$&'));
  return {
    files: [`src/${folder}/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              regex: `^(\\.\\./)+(${[...forbidden, 'tests', 'bench', 'tools'].join('|')})/`,
              message: `src/${folder} may not import this folder; see import_rules.js.`,
            },
            {
              regex: `^(?!\\.|(${escaped.join('|')})(/|$))`,
              message: `src/${folder} may not import this package; see import_rules.js.`,
            },
          ],
        },
      ],
    },
  };
}

export default [
  {ignores: ['build/', 'src/protocol/generated/']},
  ...gts,
  {
    files: ['**/*.js'],
    languageOptions: {sourceType: 'module'},
  },
  {
    files: ['**/*.ts'],
    rules: {
      'n/no-unpublished-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
  ...folders.map(restrictImports),
];
