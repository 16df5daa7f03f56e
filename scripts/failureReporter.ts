/** A reporter of `node --test` that writes one JSON line for each test that failed by itself. */
import { relative } from 'node:path';
import type { TestFailure } from './knownRed';

interface TestEvent {
  readonly type: string;
  readonly data?: {
    readonly name?: string;
    readonly file?: string;
    readonly details?: { readonly error?: { readonly failureType?: string } };
  };
}

/** Suites fail with their tests, which are told. */
const BY_ITS_TESTS = 'subtestsFailed';

export default async function* reportFailures(
  events: AsyncIterable<TestEvent>,
): AsyncGenerator<string> {
  for await (const { type, data } of events) {
    const isOwn = data?.details?.error?.failureType !== BY_ITS_TESTS;
    if (type === 'test:fail' && isOwn) {
      const failure: TestFailure = {
        file: relative('.', data?.file ?? ''),
        name: data?.name ?? '',
      };
      yield `${JSON.stringify(failure)}\n`;
    }
  }
}
