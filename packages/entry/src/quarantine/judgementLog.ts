/** Compares two judgements over crashes, and logs what was quarantined and released. */
import type { EventLog } from '@spoolplank/node';
import type { CrashJudgement } from '@spoolplank/routing';
import type { JsonValue } from '@spoolplank/shared';

export interface JudgementChange {
  readonly log: Pick<EventLog, 'info' | 'warn'>;
  readonly before: CrashJudgement;
  readonly after: CrashJudgement;
  /** The crashes that are held against a content or a combination of parts. */
  readonly endsOfContent: (content: string) => JsonValue;
  readonly endsOfParts: (combination: readonly string[]) => JsonValue;
}

/** Names a combination of parts in logs, the dump and for the operator. */
export function nameOf(combination: readonly string[]): string {
  return combination.join(',');
}

function listAdded<Cause>(
  before: readonly Cause[],
  after: readonly Cause[],
  toName: (cause: Cause) => string,
): readonly Cause[] {
  const known = before.map(toName);
  return after.filter((cause) => !known.includes(toName(cause)));
}

const listNewContents = (before: CrashJudgement, after: CrashJudgement) =>
  listAdded([...before.contents], [...after.contents], (content) => content);
const listNewCombinations = (before: CrashJudgement, after: CrashJudgement) =>
  listAdded(before.combinations, after.combinations, nameOf);

/** Whether a content or a combination of parts is quarantined that was not before. */
export function hasNewCauses(before: CrashJudgement, after: CrashJudgement): boolean {
  return listNewContents(before, after).length + listNewCombinations(before, after).length > 0;
}

export function logJudgementChanges(change: JudgementChange): void {
  const { log, before, after, endsOfContent, endsOfParts } = change;
  listNewContents(before, after).forEach((content) =>
    log.warn('content-quarantined', { content, ends: JSON.stringify(endsOfContent(content)) }),
  );
  listNewContents(after, before).forEach((content) => log.info('content-released', { content }));
  listNewCombinations(before, after).forEach((parts) =>
    log.warn('parts-quarantined', { parts, ends: JSON.stringify(endsOfParts(parts)) }),
  );
  listNewCombinations(after, before).forEach((parts) => log.info('parts-released', { parts }));
}
