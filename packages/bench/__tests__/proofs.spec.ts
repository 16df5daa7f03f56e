import assert from 'node:assert/strict';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { basename, join } from 'node:path';
import { describe, it } from 'node:test';

const NAMED_TEST = /`([\w]+\.spec\.ts)(?:: "([^"]+)")?`/g;

function readSpecs(): ReadonlyMap<string, string> {
  const roots = [...readdirSync('packages').map((name) => join('packages', name)), 'platform'];
  const files = roots.flatMap((root) => {
    const folder = join(root, '__tests__');
    if (!existsSync(folder)) return [];
    const specs = readdirSync(folder).filter((file) => file.endsWith('.spec.ts'));
    return specs.map((file) => join(folder, file));
  });
  return new Map(files.map((file) => [basename(file), readFileSync(file, 'utf8')]));
}

describe('the page of proofs', () => {
  it('names only tests that exist', () => {
    const specs = readSpecs();
    const page = readFileSync('docs/PROOFS.md', 'utf8');
    const named = [...page.matchAll(NAMED_TEST)];
    assert.ok(named.length > 30);
    const missing = named.filter(([, file = '', name]) => {
      const text = specs.get(file);
      return text === undefined || (name !== undefined && !text.includes(name));
    });
    assert.deepEqual(
      missing.map(([all]) => all),
      [],
    );
  });

  it('lists mutations whose text to replace occurs exactly once', () => {
    const faults = JSON.parse(readFileSync('scripts/mutations.json', 'utf8')) as readonly {
      name: string;
      file: string;
      find: string;
    }[];
    const stale = faults.filter(
      ({ file, find }) => readFileSync(file, 'utf8').split(find).length !== 2,
    );
    assert.deepEqual(
      stale.map(({ name }) => name),
      [],
    );
  });
});
