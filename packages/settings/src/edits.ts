import { isJsonObject, parsePointer } from '@spoolplank/shared';
import type { Finding, JsonObject, JsonValue } from '@spoolplank/shared';
import type { SettingsTree } from './tree';
import { isTreePointer } from './validation';

/** One step of a change: puts a value at a place, or removes it when `value` is absent. */
export interface Edit {
  /** JSON pointer into the tree; the empty string replaces the whole tree. */
  readonly pointer: string;
  readonly value?: JsonValue;
}

const FORBIDDEN_SEGMENTS: ReadonlySet<string> = new Set(['__proto__', 'constructor', 'prototype']);

/** Everything wrong with the form of edits, before they are applied. */
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
  const before: JsonObject = isJsonObject(branch) ? branch : {};
  const child = editBranch(Object.hasOwn(before, head) ? before[head] : undefined, rest, value);
  if (child !== undefined) return { ...before, [head]: child };
  const { [head]: removed, ...others } = before;
  return removed === undefined && branch === undefined ? undefined : others;
}

/** Applies edits in order and returns the new tree; the old one is left as it was. */
export function applyEdits(tree: SettingsTree, edits: readonly Edit[]): SettingsTree {
  return edits.reduce<SettingsTree>((current, { pointer, value }) => {
    const edited = editBranch(current as unknown as JsonValue, parsePointer(pointer), value);
    return (edited ?? {}) as unknown as SettingsTree;
  }, tree);
}
