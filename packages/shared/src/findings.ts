/** One thing wrong with an input, with its place. */
export interface Finding {
  /** The file or other source that was read. */
  readonly source: string;
  /** JSON pointer to the value (RFC 6901); the empty string is the whole document. */
  readonly pointer: string;
  /** What is wrong. */
  readonly problem: string;
  /** What would be right, where that can be said. */
  readonly expected?: string;
}

/** Renders findings one a line, in the form `source#pointer: problem (expected ...)`. */
export function formatFindings(findings: readonly Finding[]): string {
  return findings
    .map(({ source, pointer, problem, expected }) => {
      const hint = expected ? ` (expected ${expected})` : '';
      return `${source}#${pointer}: ${problem}${hint}`;
    })
    .join('\n');
}
