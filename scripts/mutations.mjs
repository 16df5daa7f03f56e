/**
 * Plants faults in the code, one at a time, and reports which test catches each. A fault that
 * no test catches ends it with exit 1. The files are put back whatever happens.
 */
import { spawnSync } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';

const faults = JSON.parse(readFileSync('scripts/mutations.json', 'utf8'));
const asked = process.argv.slice(2);
let missed = 0;

function runTests(files) {
  const args = ['--import', 'tsx', '--test', '--test-reporter=tap', ...files];
  return spawnSync(process.execPath, args, { encoding: 'utf8', timeout: 300_000 });
}

function firstFailure(output) {
  const names = [...output.matchAll(/^\s*not ok \d+ - (.*)$/gm)].map((match) => match[1].trim());
  return names[0] ?? 'the run failed';
}

for (const { name, file, find, replace, tests } of faults) {
  if (asked.length > 0 && !asked.some((word) => name.includes(word))) continue;
  const original = readFileSync(file, 'utf8');
  if (original.split(find).length !== 2) {
    process.stdout.write(`STALE   ${name}: the place in ${file} is not found once\n`);
    missed += 1;
    continue;
  }
  try {
    writeFileSync(
      file,
      original.replace(find, () => replace),
    );
    const { status, stdout } = runTests(tests);
    if (status === 0) missed += 1;
    process.stdout.write(
      status === 0 ? `MISSED  ${name}\n` : `caught  ${name}: ${firstFailure(stdout)}\n`,
    );
  } finally {
    writeFileSync(file, original);
  }
}
process.stdout.write(missed === 0 ? 'every planted fault is caught\n' : `${missed} not caught\n`);
process.exitCode = missed === 0 ? 0 : 1;
