/** Runs all tests. Those that `KNOWN-RED.txt` lists run too and are printed; they fail no run. */
import { spawnSync } from 'node:child_process';
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { hasPassed, parseKnownRed, sortFailures } from './knownRed';
import type { TestFailure } from './knownRed';

const SPEC = /\.spec\.ts$/;

function listSpecs(folder: string): readonly string[] {
  if (!existsSync(folder)) return [];
  const names = readdirSync(folder).filter((name) => SPEC.test(name));
  return names.map((name) => join(folder, name));
}

function runSpecs(specs: readonly string[], failureFile: string): number | null {
  const options = [
    '--import=tsx',
    '--test',
    '--test-reporter=spec',
    '--test-reporter-destination=stdout',
    '--test-reporter=./scripts/failureReporter.mjs',
    `--test-reporter-destination=${failureFile}`,
  ];
  return spawnSync(process.execPath, [...options, ...specs], { stdio: 'inherit' }).status;
}

function readFailures(file: string): readonly TestFailure[] {
  const lines = readFileSync(file, 'utf8').split('\n');
  return lines.filter((line) => line !== '').map((line) => JSON.parse(line) as TestFailure);
}

function print(label: string, failures: readonly TestFailure[]): void {
  failures.forEach(({ file, name }) => process.stdout.write(`${label}: ${file} › ${name}\n`));
}

const entries = parseKnownRed(readFileSync('KNOWN-RED.txt', 'utf8'));
entries.forEach(({ line }) => process.stdout.write(`known red: ${line}\n`));

const packages = readdirSync('packages').map((name) => join('packages', name));
const folders = [...packages, 'platform', 'scripts'].map((name) => join(name, '__tests__'));
const scratch = mkdtempSync(join(tmpdir(), 'spoolplank-test-'));
const failureFile = join(scratch, 'failures');
const status = runSpecs(folders.flatMap(listSpecs), failureFile);
const failures = readFailures(failureFile);
rmSync(scratch, { recursive: true, force: true });

const { known, unknown } = sortFailures(failures, entries);
print('known red, failed', known);
print('failed', unknown);
process.exit(hasPassed(status, failures, entries) ? 0 : 1);
