/**
 * The tests that may fail: `KNOWN-RED.txt` has a line for each of them.
 *
 *   FILE › TEST | command and seed | what was seen | open issue
 */

/** A test that failed: its file from the root, and its own name without those of its suites. */
export interface TestFailure {
  readonly file: string;
  readonly name: string;
}

export interface KnownRed extends TestFailure {
  readonly line: string;
}

export interface SortedFailures {
  readonly known: readonly TestFailure[];
  readonly unknown: readonly TestFailure[];
}

const COLUMNS = 4;
const SEPARATOR = '|';
const NAME_SEPARATOR = ' › ';

function parseLine(line: string): KnownRed | null {
  const columns = line.split(SEPARATOR).map((column) => column.trim());
  const [file, name] = (columns[0] ?? '').split(NAME_SEPARATOR);
  const isWhole = columns.length === COLUMNS && columns.every((column) => column !== '');
  return isWhole && file && name ? { line, file, name } : null;
}

/**
 * Reads the list.
 *
 * @throws Error with every line that does not say all that it must.
 */
export function parseKnownRed(text: string): readonly KnownRed[] {
  const lines = text.split('\n').filter((line) => line.trim() !== '');
  const unclear = lines.filter((line) => parseLine(line) === null);
  if (unclear.length > 0) {
    const form = 'FILE › TEST | command and seed | what was seen | open issue';
    throw new Error(`KNOWN-RED.txt: not of the form "${form}":\n${unclear.join('\n')}`);
  }
  return lines.flatMap((line) => parseLine(line) ?? []);
}

/** Tells failures that are listed from those that are not. */
export function sortFailures(
  failures: readonly TestFailure[],
  entries: readonly KnownRed[],
): SortedFailures {
  const isListed = ({ file, name }: TestFailure) =>
    entries.some((entry) => entry.file === file && entry.name === name);
  return {
    known: failures.filter(isListed),
    unknown: failures.filter((failure) => !isListed(failure)),
  };
}

/**
 * Whether a run passes: nothing failed, or just what is listed. A run that failed and names no test
 * was ended, or could not begin.
 */
export function hasPassed(
  status: number | null,
  failures: readonly TestFailure[],
  entries: readonly KnownRed[],
): boolean {
  if (status === 0) return true;
  return failures.length > 0 && sortFailures(failures, entries).unknown.length === 0;
}
