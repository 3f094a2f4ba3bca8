import js from '@eslint/js';
import tseslint from 'typescript-eslint';

const NAMED_EXPORTS_ONLY = {
  selector: 'ExportDefaultDeclaration',
  message: 'Use named exports.',
};
const BOUNDARY_ONLY =
  'An error here would end the process with all its requests: use an ErrorBoundary.';

const RAW_HEADERS_ONLY =
  'Throws for a header named __proto__ before Node 20.20.2: count in rawHeaders.';

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
      'no-restricted-properties': [
        'error',
        {property: 'headersDistinct', message: RAW_HEADERS_ONLY},
        {property: 'trailersDistinct', message: RAW_HEADERS_ONLY},
      ],
      'max-depth': ['error', 4],
      'max-lines-per-function': ['error', {max: 70, skipComments: true}],
      'no-restricted-syntax': ['error', NAMED_EXPORTS_ONLY],
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
    files: [
      'src/{caller,datagrams,fleet,gateway,http,platform,servers,tunnels,upstreams}/**/*.ts',
    ],
    // An error in the state of the fleet stops the process in order. The other two serve no
    // request: one counts bytes, one starts servers.
    ignores: [
      'src/fleet/fleet_{member,state}.ts',
      'src/servers/{listen,traffic_meter}.ts',
    ],
    rules: {
      'no-restricted-syntax': [
        'error',
        NAMED_EXPORTS_ONLY,
        {
          selector:
            'CallExpression[callee.property.name=/^(on|once|addListener|prependListener|prependOnceListener)$/]',
          message: BOUNDARY_ONLY,
        },
        {
          selector:
            'CallExpression[callee.name=/^(setTimeout|setInterval|setImmediate|createServer)$/]' +
            ':not([arguments.0.callee.property.name="wrap"]):not([arguments.0.type="Identifier"])',
          message: BOUNDARY_ONLY,
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
