/** Resolves the policy that a branch inherits, and reports all findings of an invalid tree. */
import { formatFindings } from '@spoolplank/shared';
import { collectTreeFindings, resolvePolicy } from '@spoolplank/settings';
import type { SettingsTree } from '@spoolplank/settings';

export function runExample(write: (line: string) => void): void {
  const tree: SettingsTree = {
    policy: { deadlineMs: 5000 },
    services: { bookings: { kind: 'plain', policy: { maxRetries: 0 } } },
    organisations: { acme: { policy: { weight: 3 }, services: { bookings: {} } } },
  };
  const { policy, origins } = resolvePolicy(tree, { organisation: 'acme', service: 'bookings' });
  write(`deadlineMs ${policy.deadlineMs} from ${origins.deadlineMs}`);
  write(`weight ${policy.weight} from ${origins.weight}`);
  const invalidTree = { policy: { weight: 0, wait: 1 }, services: { drafts: { kind: 'model' } } };
  write(formatFindings(collectTreeFindings(invalidTree, 'tree.json')));
}
