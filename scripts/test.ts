/**
 * Runs all tests. The known failures listed in `KNOWN-RED.txt` run too and are printed, but do not
 * fail the run.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { hasPassed, parseKnownFailures, partitionFailures } from './knownRed';
import type { TestFailure } from './knownRed';

const SPEC_FILE = /\.spec\.ts$/;

function listSpecs(folder: string): readonly string[] {
  if (!existsSync(folder)) return [];
  const names = readdirSync(folder).filter((name) => SPEC_FILE.test(name));
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

function printFailures(label: string, failures: readonly TestFailure[]): void {
  failures.forEach(({ file, name }) => process.stdout.write(`${label}: ${file} › ${name}\n`));
}

const entries = parseKnownFailures(readFileSync('KNOWN-RED.txt', 'utf8'));
entries.forEach(({ line }) => process.stdout.write(`known red: ${line}\n`));

const packages = readdirSync('packages').map((name) => join('packages', name));
const folders = [...packages, 'platform', 'scripts'].map((name) => join(name, '__tests__'));
const tempFolder = mkdtempSync(join(tmpdir(), 'spoolplank-test-'));
const failureFile = join(tempFolder, 'failures');
const status = runSpecs(folders.flatMap(listSpecs), failureFile);
const failures = readFailures(failureFile);
rmSync(tempFolder, { recursive: true, force: true });

const { known, unknown } = partitionFailures(failures, entries);
printFailures('known red, failed', known);
printFailures('failed', unknown);
process.exit(hasPassed(status, failures, entries) ? 0 : 1);
