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
/** Specs that measure the memory of processes, which run one at a time after all others. */
const ISOLATED_SPEC_FILE = /crowds\w*\.spec\.ts$/;

function listSpecs(folder: string): readonly string[] {
  if (!existsSync(folder)) return [];
  const names = readdirSync(folder).filter((name) => SPEC_FILE.test(name));
  return names.map((name) => join(folder, name));
}

interface Run {
  readonly status: number | null;
  readonly failures: readonly TestFailure[];
}

function readFailures(file: string): readonly TestFailure[] {
  const lines = readFileSync(file, 'utf8').split('\n');
  return lines.filter((line) => line !== '').map((line) => JSON.parse(line) as TestFailure);
}

function runSpecs(specs: readonly string[], ...runnerOptions: readonly string[]): Run {
  const folder = mkdtempSync(join(tmpdir(), 'spoolplank-test-'));
  const failureFile = join(folder, 'failures');
  const options = [
    ...runnerOptions,
    '--import=tsx',
    '--test',
    '--test-reporter=spec',
    '--test-reporter-destination=stdout',
    '--test-reporter=./scripts/failureReporter.mjs',
    `--test-reporter-destination=${failureFile}`,
  ];
  const { status } = spawnSync(process.execPath, [...options, ...specs], { stdio: 'inherit' });
  const failures = readFailures(failureFile);
  rmSync(folder, { recursive: true, force: true });
  return { status, failures };
}

function printFailures(label: string, failures: readonly TestFailure[]): void {
  failures.forEach(({ file, name }) => process.stdout.write(`${label}: ${file} › ${name}\n`));
}

const entries = parseKnownFailures(readFileSync('KNOWN-RED.txt', 'utf8'));
entries.forEach(({ line }) => process.stdout.write(`known red: ${line}\n`));

const packages = readdirSync('packages').map((name) => join('packages', name));
const folders = [...packages, 'platform', 'scripts'].map((name) => join(name, '__tests__'));
const specs = folders.flatMap(listSpecs);
const isIsolated = (spec: string) => ISOLATED_SPEC_FILE.test(spec);
const runs = [
  runSpecs(specs.filter((spec) => !isIsolated(spec))),
  runSpecs(specs.filter(isIsolated), '--test-concurrency=1'),
];

const sorted = partitionFailures(
  runs.flatMap(({ failures }) => failures),
  entries,
);
printFailures('known red, failed', sorted.known);
printFailures('failed', sorted.unknown);
const hasRunPassed = ({ status, failures }: Run) => hasPassed(status, failures, entries);
process.exit(runs.every(hasRunPassed) ? 0 : 1);
