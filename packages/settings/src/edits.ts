import { isJsonObject, parsePointer } from '@spoolplank/shared';
import type { Finding, JsonObject, JsonValue } from '@spoolplank/shared';
import type { SettingsTree } from './tree';
import { isTreePointer } from './validation';

/** One edit of a change: sets the value at a pointer, or removes it when `value` is absent. */
export interface Edit {
  /** JSON pointer into the tree; the empty string replaces the whole tree. */
  readonly pointer: string;
  readonly value?: JsonValue;
}

const FORBIDDEN_SEGMENTS: ReadonlySet<string> = new Set(['__proto__', 'constructor', 'prototype']);

/** Checks the form of edits before they are applied, and returns all findings. */
export function collectEditFindings(edits: unknown, source: string): readonly Finding[] {
  if (!Array.isArray(edits) || edits.length === 0) {
    return [
      {
        source,
        pointer: '',
        problem: 'no edits',
        expected: 'a list of {pointer, value}',
      },
    ];
  }
  return edits.flatMap((edit: unknown, index): readonly Finding[] => {
    const pointer = isJsonObject(edit) ? edit.pointer : undefined;
    if (typeof pointer !== 'string' || !isTreePointer(pointer)) {
      return [
        {
          source,
          pointer: `/${index}/pointer`,
          problem: 'not a JSON pointer',
          expected: 'text such as /organisations/acme',
        },
      ];
    }
    if (parsePointer(pointer).some((segment) => FORBIDDEN_SEGMENTS.has(segment))) {
      return [
        {
          source,
          pointer: `/${index}/pointer`,
          problem: 'a reserved name',
          expected: 'another name',
        },
      ];
    }
    return [];
  });
}

function editBranch(
  branch: JsonValue | undefined,
  segments: readonly string[],
  value: JsonValue | undefined,
): JsonValue | undefined {
  const [head, ...rest] = segments;
  if (head === undefined) return value;
  const parent: JsonObject = isJsonObject(branch) ? branch : {};
  const child = editBranch(Object.hasOwn(parent, head) ? parent[head] : undefined, rest, value);
  if (child !== undefined) return { ...parent, [head]: child };
  const { [head]: removed, ...others } = parent;
  return removed === undefined && branch === undefined ? undefined : others;
}

/** Applies edits in order and returns the new tree; the given tree is not modified. */
export function applyEdits(tree: SettingsTree, edits: readonly Edit[]): SettingsTree {
  return edits.reduce<SettingsTree>((current, { pointer, value }) => {
    const edited = editBranch(current as unknown as JsonValue, parsePointer(pointer), value);
    return (edited ?? {}) as unknown as SettingsTree;
  }, tree);
}
