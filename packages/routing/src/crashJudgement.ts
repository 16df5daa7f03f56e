/**
 * Which request contents end the backend servers that run them.
 *
 * The load pattern it answers: a caller repeats a request that ends every server which begins to
 * run it, and each end takes dozens of other requests with it. All of those were there when a
 * server ended, a few in the same state; what ends servers is what most of the ends have in common.
 * Days on which engines are lost for other reasons leave one end or two with a content, by chance.
 */

/** One run of a backend server that ended, and one content that it had just begun to run. */
export interface ServerEnd {
  readonly content: string;
  /** Identity of the server's run. */
  readonly instanceId: string;
  /** How long the content had run there. */
  readonly ranMs: number;
}

/**
 * Ends that are held against a content. Two come about by chance: a request that lost one engine is
 * sent to another at once, which may be lost too. Each further one costs a chain its first engine.
 */
export const QUARANTINE_ENDS = 3;

interface Suspect {
  readonly content: string;
  readonly instanceIds: ReadonlySet<string>;
  readonly meanRanMs: number;
}

function listSuspects(ends: readonly ServerEnd[]): readonly Suspect[] {
  const byContent = new Map<string, ServerEnd[]>();
  ends.forEach((end) => {
    const known = byContent.get(end.content);
    if (known) known.push(end);
    else byContent.set(end.content, [end]);
  });
  return [...byContent].map(([content, own]) => ({
    content,
    instanceIds: new Set(own.map(({ instanceId }) => instanceId)),
    meanRanMs: own.reduce((sum, { ranMs }) => sum + ranMs, 0) / own.length,
  }));
}

/** Whether `a` is the likelier cause: more ends, or else it ended its servers sooner. */
function isLikelier(a: Suspect, endsOfA: number, b: Suspect, endsOfB: number): boolean {
  if (endsOfA !== endsOfB) return endsOfA > endsOfB;
  if (a.meanRanMs !== b.meanRanMs) return a.meanRanMs < b.meanRanMs;
  return a.content < b.content;
}

/**
 * The contents that are run no more. The one with most ends goes first, and what it explains is
 * held against no other one: a request that was beside it by bad luck is cleared. The verdict is a
 * function of the set of ends alone, so VMs that know the same ends agree, in whatever order they
 * heard of them, and a verdict that was wrong for want of an end is corrected by it.
 *
 * Source: the greedy algorithm for set cover, Chvatal, "A greedy heuristic for the set-covering
 * problem", Mathematics of Operations Research, 1979.
 */
export function judgeCrashes(ends: readonly ServerEnd[]): ReadonlySet<string> {
  const suspects = listSuspects(ends);
  const explained = new Set<string>();
  const guilty = new Set<string>();
  const unexplained = ({ instanceIds }: Suspect) =>
    [...instanceIds].filter((id) => !explained.has(id)).length;

  for (;;) {
    const worst = suspects
      .filter(({ content }) => !guilty.has(content))
      .map((suspect) => ({ suspect, count: unexplained(suspect) }))
      .reduce<{ readonly suspect: Suspect; readonly count: number } | undefined>(
        (best, next) =>
          best && !isLikelier(next.suspect, next.count, best.suspect, best.count) ? best : next,
        undefined,
      );
    if (!worst || worst.count < QUARANTINE_ENDS) return guilty;
    guilty.add(worst.suspect.content);
    worst.suspect.instanceIds.forEach((id) => explained.add(id));
  }
}
