/**
 * Mutation testing: applies the mutations of `mutations.json` one at a time to a copy of the
 * workspace and reports which test catches each. Exits with 1 if a mutation is not caught. The
 * workspace itself is never modified, so that a killed run cannot leave a mutation behind.
 */
import { spawnSync } from 'node:child_process';
import { cpSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const mutations = JSON.parse(readFileSync('scripts/mutations.json', 'utf8'));
const requested = process.argv.slice(2);
let missed = 0;

const TEST_TIMEOUT_MS = 120_000;
const COPIED = ['packages', 'platform', 'deploy', 'node_modules', 'package.json', 'tsconfig.json'];

const copy = mkdtempSync(join(tmpdir(), 'spoolplank-mutations-'));
COPIED.forEach((name) =>
  cpSync(name, join(copy, name), { recursive: true, verbatimSymlinks: true }),
);
process.on('exit', () => rmSync(copy, { recursive: true, force: true }));

function runTests(files) {
  const args = ['--import', 'tsx', '--test', '--test-reporter=tap', ...files];
  return spawnSync(process.execPath, args, {
    cwd: copy,
    encoding: 'utf8',
    timeout: TEST_TIMEOUT_MS,
  });
}

function firstFailure(output) {
  const names = [...output.matchAll(/^\s*not ok \d+ - (.*)$/gm)].map((match) => match[1].trim());
  return names[0] ?? 'the test run failed';
}

/** Runs the tests with one mutation; returns the line to report and whether it was caught. */
function testMutation({ name, file: path, find, replace, tests }) {
  const file = join(copy, path);
  const original = readFileSync(file, 'utf8');
  if (original.split(find).length !== 2) {
    return {
      isCaught: false,
      line: `STALE   ${name}: the text to replace does not occur exactly once in ${path}`,
    };
  }
  try {
    writeFileSync(
      file,
      original.replace(find, () => replace),
    );
    const { status, stdout } = runTests(tests);
    const isCaught = status !== 0;
    return {
      isCaught,
      line: isCaught ? `caught  ${name}: ${firstFailure(stdout)}` : `MISSED  ${name}`,
    };
  } finally {
    writeFileSync(file, original);
  }
}

const selected = mutations.filter(
  ({ name }) => requested.length === 0 || requested.some((text) => name.includes(text)),
);
// A misspelt name must not look like a run in which every mutation was caught.
if (selected.length === 0) throw new Error(`no mutation name contains ${requested.join(', ')}`);
selected.forEach((mutation) => {
  const { isCaught, line } = testMutation(mutation);
  if (!isCaught) missed += 1;
  process.stdout.write(`${line}\n`);
});
process.stdout.write(missed === 0 ? 'every mutation is caught\n' : `${missed} not caught\n`);
process.exitCode = missed === 0 ? 0 : 1;
