import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

/** Terms that grew here and have a name in the field; docs/design/terms.md has the table. */
const REPLACED_TERMS = {
  '[Ww]itness': 'reporter',
  '[Aa]cquit': 'clearance',
  '[Aa]ppointed': 'designated',
  '(^|[a-z])[Dd]oor($|[A-Z])': 'listener',
  '([Ww]aiting|WAITING_)(Line|LINE)': 'admission queue',
  '(Held|Granted)Place|Place(Ledger|Allocator|Finder|Client|Ask|Service)': 'slot',
  '(Room|Pace)(Fact|Watch)': 'capacity, straggler',
  '^(at|server|has)Rest(s|ing)?$|^mayRest$': 'backoff',
  'returnAfterMs|returnInMs|hasReturned': 'retry',
  '^(note|tell|told|hear|heard)[A-Z]': 'record, send, report or receive',
  '^hasRoom|^(with|record)Room$': 'capacity',
  '[Uu]nseen(Load|InFlight)$|^estimateUnseen$': 'unreported',
  '(find|fill)Holes?($|[A-Z])|WholeChains?$': 'gap, complete chain',
  '(Own|Entry)Statements|^listStatements$': 'published facts',
  '^(create)?NamedLimits?($|[A-Z])': 'advertised limit',
  'StagePatience|GroupPromise': 'failure detector, fault tolerance',
};
const FORBIDDEN_STATEMENTS = ['ForInStatement', 'LabeledStatement', 'WithStatement'];
const REPLACED_IDENTIFIERS = Object.entries(REPLACED_TERMS).map(([pattern, term]) => ({
  selector: `Identifier[name=/${pattern}/]`,
  message: `The field's term is ${term}.`,
}));

/** Where this differs from the Airbnb guide, with the reason; see CONTRIBUTING.md. */
const DIFFERENCES = {
  // Formatting is Prettier's; what it cannot break may be long.
  '@stylistic/max-len': [
    'error',
    {
      code: 100,
      ignoreUrls: true,
      ignoreStrings: true,
      ignoreTemplateLiterals: true,
      ignoreRegExpLiterals: true,
    },
  ],
  // Entities stand in tables, and systems that are handed a row change its fields.
  'no-param-reassign': ['error', { props: false }],
  // Protocol loops wait for each step on purpose.
  'no-await-in-loop': 'off',
  // Node.js 20 needs no transpiled iterators; the other forbidden statements stay forbidden.
  'no-restricted-syntax': ['error', ...FORBIDDEN_STATEMENTS, ...REPLACED_IDENTIFIERS],
  'no-warning-comments': [
    'error',
    {
      terms: [
        'waiting line',
        'acquittal',
        'witness',
        'appointed vm',
        'at rest',
        'told of',
        'heard of',
        'handed on',
      ],
      location: 'anywhere',
    },
  ],
  'no-void': ['error', { allowAsStatement: true }],
  // One concept a file, by its name: named exports only.
  'import-x/prefer-default-export': 'off',
  // Commands of one topic stand together.
  'max-classes-per-file': ['error', 4],
};

export default [
  { ignores: ['dist/**', 'target/**', 'journal/**', 'node_modules/**'] },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  prettier,
  { rules: DIFFERENCES },
  {
    files: ['**/*.ts'],
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          // The test runner itself waits for what these return.
          allowForKnownSafeCalls: [
            { from: 'package', package: 'node:test', name: ['describe', 'it', 'test'] },
          ],
        },
      ],
      '@typescript-eslint/consistent-type-imports': [
        'error',
        { fixStyle: 'separate-type-imports' },
      ],
    },
  },
  {
    // Hash functions and flipped bits are made of these operators.
    files: ['packages/fakes/src/textModel.ts', 'packages/node/__tests__/storage.spec.ts'],
    rules: { 'no-bitwise': 'off' },
  },
  {
    // Test tools stand in the package of the workspace.
    files: ['**/__tests__/**'],
    rules: {
      'import-x/no-extraneous-dependencies': [
        'error',
        { devDependencies: true, packageDir: [import.meta.dirname], whitelist: ['p-queue'] },
      ],
    },
  },
  {
    files: ['scripts/**', 'platform/days/**', '*.mjs'],
    languageOptions: { globals: { process: 'readonly' } },
    rules: { 'import-x/no-extraneous-dependencies': ['error', { devDependencies: true }] },
  },
];
