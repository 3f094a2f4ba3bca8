import js from '@eslint/js';
import tseslint from 'typescript-eslint';

const PURE_ONLY = 'src/decisions/ is deterministic: pass it in.';

export default tseslint.config(
  {
    ignores: [
      'dist/',
      'target/',
      'journal/',
      'node_modules/',
      'src/language/generated/',
    ],
  },
  js.configs.recommended,
  ...tseslint.configs.strict,
  ...tseslint.configs.stylistic,
  {
    rules: {
      eqeqeq: 'error',
      'prefer-const': 'error',
      'max-depth': ['error', 4],
      'max-lines-per-function': ['error', {max: 70, skipComments: true}],
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use named exports.',
        },
      ],
      '@typescript-eslint/consistent-type-definitions': ['error', 'interface'],
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      '@typescript-eslint/no-non-null-assertion': 'error',
      '@typescript-eslint/no-dynamic-delete': 'off',
    },
  },
  {
    files: ['src/decisions/**/*.ts'],
    rules: {
      'no-restricted-globals': [
        'error',
        ...[
          'setTimeout',
          'setInterval',
          'setImmediate',
          'process',
          'fetch',
        ].map(name => ({name, message: PURE_ONLY})),
      ],
      'no-restricted-properties': [
        'error',
        {object: 'Date', property: 'now', message: PURE_ONLY},
        {object: 'Math', property: 'random', message: PURE_ONLY},
        {object: 'performance', property: 'now', message: PURE_ONLY},
      ],
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {group: ['node:*', 'undici', '**/adapters/**'], message: PURE_ONLY},
          ],
        },
      ],
    },
  },
  {
    files: ['*.config.ts', '*.config.js'],
    rules: {'no-restricted-syntax': 'off'},
  },
  {
    files: ['tests/**/*.ts', 'src/bench/**/*.ts'],
    rules: {'max-lines-per-function': 'off'},
  },
);
