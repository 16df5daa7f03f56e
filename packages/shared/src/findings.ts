/** A problem that validation found in an input, with its location. */
export interface Finding {
  /** The file or other source of the input. */
  readonly source: string;
  /** JSON pointer (RFC 6901) to the invalid value; empty for the whole document. */
  readonly pointer: string;
  readonly problem: string;
  /** What is valid instead, if that can be stated. */
  readonly expected?: string;
}

/** Renders one finding per line, in the form `source#pointer: problem (expected ...)`. */
export function formatFindings(findings: readonly Finding[]): string {
  return findings
    .map(({ source, pointer, problem, expected }) => {
      const hint = expected ? ` (expected ${expected})` : '';
      return `${source}#${pointer}: ${problem}${hint}`;
    })
    .join('\n');
}
