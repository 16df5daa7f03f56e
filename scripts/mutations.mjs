/**
 * Plants faults, one at a time, in a copy of the workspace, and reports which test catches each.
 * A fault that no test catches ends it with exit 1. The workspace itself is never touched: a run
 * that is killed must not leave a fault behind.
 */
import { spawnSync } from 'node:child_process';
import { cpSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const faults = JSON.parse(readFileSync('scripts/mutations.json', 'utf8'));
const asked = process.argv.slice(2);
let missed = 0;

const TEST_TIMEOUT_MS = 120_000;
const COPIED = ['packages', 'platform', 'node_modules', 'package.json', 'tsconfig.json'];

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
  return names[0] ?? 'the run failed';
}

/** Plants one fault; returns the line to report and whether it was caught. */
function plant({ name, file: place, find, replace, tests }) {
  const file = join(copy, place);
  const original = readFileSync(file, 'utf8');
  if (original.split(find).length !== 2) {
    return { isCaught: false, line: `STALE   ${name}: the place in ${place} is not found once` };
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

const chosen = faults.filter(
  ({ name }) => asked.length === 0 || asked.some((words) => name.includes(words)),
);
// A misspelt name must not look like a run in which everything was caught.
if (chosen.length === 0) throw new Error(`no planted fault is named like ${asked.join(', ')}`);
chosen.forEach((fault) => {
  const { isCaught, line } = plant(fault);
  if (!isCaught) missed += 1;
  process.stdout.write(`${line}\n`);
});
process.stdout.write(missed === 0 ? 'every planted fault is caught\n' : `${missed} not caught\n`);
process.exitCode = missed === 0 ? 0 : 1;
