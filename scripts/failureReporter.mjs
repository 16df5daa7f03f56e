/**
 * A reporter of `node --test` that writes one JSON line, a `TestFailure`, for each test that failed
 * by itself. Node.js loads reporters without the hooks that read TypeScript.
 */
import { relative } from 'node:path';

/** Suites fail with their tests, which are told. */
const BY_ITS_TESTS = 'subtestsFailed';

export default async function* reportFailures(events) {
  for await (const { type, data } of events) {
    const isOwn = data?.details?.error?.failureType !== BY_ITS_TESTS;
    if (type === 'test:fail' && isOwn) {
      yield `${JSON.stringify({ file: relative('.', data.file ?? ''), name: data.name })}\n`;
    }
  }
}
