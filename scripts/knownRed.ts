/**
 * Known failures: tests that may fail without failing the run. `KNOWN-RED.txt` lists one a line:
 *
 *   FILE › TEST | command and seed | what was seen | open issue
 */

/** A failed test: its file relative to the root, and its name without the names of its suites. */
export interface TestFailure {
  readonly file: string;
  readonly name: string;
}

export interface KnownFailure extends TestFailure {
  readonly line: string;
}

export interface SortedFailures {
  readonly known: readonly TestFailure[];
  readonly unknown: readonly TestFailure[];
}

const COLUMNS = 4;
const SEPARATOR = '|';
const NAME_SEPARATOR = ' › ';

function parseLine(line: string): KnownFailure | null {
  const columns = line.split(SEPARATOR).map((column) => column.trim());
  const [file, name] = (columns[0] ?? '').split(NAME_SEPARATOR);
  const isComplete = columns.length === COLUMNS && columns.every((column) => column !== '');
  return isComplete && file && name ? { line, file, name } : null;
}

/**
 * Parses `KNOWN-RED.txt`.
 *
 * @throws Error that lists every malformed line.
 */
export function parseKnownFailures(text: string): readonly KnownFailure[] {
  const lines = text.split('\n').filter((line) => line.trim() !== '');
  const malformed = lines.filter((line) => parseLine(line) === null);
  if (malformed.length > 0) {
    const form = 'FILE › TEST | command and seed | what was seen | open issue';
    throw new Error(`KNOWN-RED.txt: lines not of the form "${form}":\n${malformed.join('\n')}`);
  }
  return lines.flatMap((line) => parseLine(line) ?? []);
}

/** Partitions failures into listed and unlisted ones. */
export function partitionFailures(
  failures: readonly TestFailure[],
  entries: readonly KnownFailure[],
): SortedFailures {
  const isListed = ({ file, name }: TestFailure) =>
    entries.some((entry) => entry.file === file && entry.name === name);
  return {
    known: failures.filter(isListed),
    unknown: failures.filter((failure) => !isListed(failure)),
  };
}

/**
 * Whether a run passes: no test failed, or only listed ones. A failing exit status without a failed
 * test does not pass, because the run was aborted or could not start.
 */
export function hasPassed(
  status: number | null,
  failures: readonly TestFailure[],
  entries: readonly KnownFailure[],
): boolean {
  if (status === 0) return true;
  return failures.length > 0 && partitionFailures(failures, entries).unknown.length === 0;
}
