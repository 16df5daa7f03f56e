/**
 * A `node --test` reporter that writes a `TestFailure` as one JSON line for each failed test. It is
 * JavaScript because Node.js loads reporters without the TypeScript loader.
 */
import { relative } from 'node:path';

/** Failure type of a suite that failed only because of its tests, which are reported themselves. */
const SUBTESTS_FAILED = 'subtestsFailed';

export default async function* reportFailures(events) {
  for await (const { type, data } of events) {
    const isOwnFailure = data?.details?.error?.failureType !== SUBTESTS_FAILED;
    if (type === 'test:fail' && isOwnFailure) {
      yield `${JSON.stringify({ file: relative('.', data.file ?? ''), name: data.name })}\n`;
    }
  }
}
