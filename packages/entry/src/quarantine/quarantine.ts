/**
 * Quarantines request contents, and parts of prompts, that crash the backend servers that run them.
 *
 * Every VM publishes which servers ended under which content and parts as facts, which are records
 * that all VMs replicate by gossip, and decides from the facts of all VMs. No single VM keeps a
 * count that could be lost, delayed or partitioned off. See docs/design/quarantine.md.
 */
import { CRASH_RETENTION_MS } from '@spoolplank/membership';
import type {
  ClearanceFact,
  CrashFact,
  FactTable,
  FactUpdate,
  SystemFact,
} from '@spoolplank/membership';
import type { EventLog, Metrics } from '@spoolplank/node';
import { judgeCrashes, QUARANTINE_CRASHES } from '@spoolplank/routing';
import type { CrashInvolvement, CrashJudgement } from '@spoolplank/routing';
import { SpoolplankError } from '@spoolplank/shared';
import type { Clock, JsonValue, Random } from '@spoolplank/shared';
import type { CrashedRun } from './crashReporter';
import type { FactPublisher } from '../gossip/factPublisher';
import {
  countCrashes,
  describeCrashes,
  endedAtMsOf,
  groupByContent,
  keyOf,
  runOf,
} from './crashRows';
import type { CrashRow } from './crashRows';
import { hasNewCauses, logJudgementChanges, nameOf } from './judgementLog';
import { createPartClearances } from './partClearances';
import { digestContent, partsOf } from './requestContent';
import type { RequestContent } from './requestContent';
import { createServedContents } from './servedContents';

export interface QuarantineOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly table: FactTable<SystemFact>;
  readonly publisher: FactPublisher;
  /** Runs a function that clears parts, after a delay; at once by default. */
  readonly deferClearance?: (run: () => void) => void;
}

export interface Quarantine {
  /**
   * Checks that a content may be run.
   *
   * @throws SpoolplankError `quarantined` if it may not; the request has not run.
   */
  check(content: RequestContent): void;
  /** Whether a content, or a combination of parts of its prompt, is quarantined. */
  has(content: RequestContent): boolean;
  /**
   * Whether this VM itself may retry a request that broke off or was rejected. A request under
   * which two servers have ended is not retried, as that could crash a third one; whether to try it
   * again is left to its caller.
   */
  mayRetry(content: RequestContent): boolean;
  /** Whether at least one server has ended while it ran the content. */
  isSuspected(content: RequestContent): boolean;
  /** Records the end of a server under a content. */
  recordCrash(end: CrashedRun): void;
  /**
   * Records that a server has served a content that was sent at `sentAtMs`, by default now, and
   * survived. This clears the content of its earlier crashes, and the parts of its prompt of those
   * before `sentAtMs`.
   */
  recordServed(content: RequestContent, sentAtMs?: number): void;
  /**
   * Clears a content by its digest, or a combination of parts by its name, for an operator; false
   * if it was not suspected.
   */
  release(name: string): boolean;
  /** Must be called when a crash or a clearance was published, by this VM or another. */
  onFact(body: CrashFact | ClearanceFact): void;
  /**
   * Re-evaluates the quarantine if facts have arrived or time makes it due; returns whether a
   * content or a combination of parts was newly quarantined.
   */
  refresh(): boolean;
  /** When `refresh` is due although no fact has arrived; null if it is not. */
  readonly dueAtMs: number | null;
  /** Drops the keys of facts that have left the table. */
  sweep(): void;
  /** Facts to publish with the next exchange. */
  listOutgoingFacts(): readonly FactUpdate<SystemFact>[];
  describe(): JsonValue;
}

/**
 * Interval at which every VM republishes a few facts that it draws at random. Control VMs that all
 * restart at once have lost all facts; this brings them back within about ten seconds. Eight facts
 * of 270 bytes in 10 s are 0.22 KB a second.
 */
const REPUBLISH_EVERY_MS = 10_000;
const REPUBLISHED_FACTS = 8;
/** Maximum number of facts, the oldest are dropped first: 0.55 MB, and 0.4 ms to evaluate all. */
const MAX_KEYS = 2000;
/**
 * Larger bodies are not recorded as served, so that they are hashed only while some content is
 * suspected.
 */
const MAX_TRACKED_BYTES = 65_536;
const MS_PER_S = 1000;

const NOTHING_QUARANTINED: CrashJudgement = {
  contents: new Set(),
  combinations: [],
  dueAtMs: null,
};

export function createQuarantine(options: QuarantineOptions): Quarantine {
  const { clock, random, log, metrics, table, publisher } = options;
  /** Keys of the crashes and clearances in the table, in the order in which they were received. */
  const keys = new Set<string>();
  const served = createServedContents({ clock });
  const parts = createPartClearances({
    clock,
    log,
    table,
    defer: options.deferClearance,
    publish: (body) => publisher.publish(keyOf(body), body),
  });
  let crashesByContent: ReadonlyMap<string, readonly CrashRow[]> = new Map();
  let judgement = NOTHING_QUARANTINED;
  /** Set when a fact arrives. Facts arrive in bursts, so they are evaluated together on demand. */
  let isEvaluationDue = false;
  let republishAtMs = clock.nowMs() + REPUBLISH_EVERY_MS;

  function isCleared(row: CrashRow): boolean {
    return parts.clearedUntilMs(row.body.content) >= row.receivedAtMs;
  }

  function toInvolvement(row: CrashRow): CrashInvolvement {
    const { body } = row;
    const endedAtMs = endedAtMsOf(row);
    const open = body.parts?.filter((part) => parts.clearedUntilMs(part) < endedAtMs) ?? [];
    const servedParts = open.filter((part) => parts.wasServedBefore(part, endedAtMs));
    return { ...body, instanceId: runOf(body), endedAtMs, parts: open, servedParts };
  }

  function listCrashes(): readonly CrashRow[] {
    return [...keys].flatMap((key) => {
      const row = table.find(key);
      return row?.body.kind === 'crash' ? [{ ...row, body: row.body }] : [];
    });
  }

  /** Crashes of runs whose prompts contain all of the given parts. */
  function listCrashesOf(combination: readonly string[]): readonly CrashRow[] {
    return [...crashesByContent.values()]
      .flat()
      .filter(({ body }) => combination.every((part) => body.parts?.includes(part)));
  }

  function describeEnds(rows: readonly CrashRow[]) {
    return describeCrashes(rows, clock.nowMs());
  }

  function evaluate(): void {
    isEvaluationDue = false;
    crashesByContent = groupByContent(listCrashes().filter((row) => !isCleared(row)));
    const involvements = [...crashesByContent.values()].flat().map(toInvolvement);
    parts.follow(involvements);
    const before = judgement;
    judgement = judgeCrashes(involvements, clock.nowMs());
    logJudgementChanges({
      log,
      before,
      after: judgement,
      endsOfContent: (content) => describeEnds(crashesByContent.get(content) ?? []),
      endsOfParts: (combination) => describeEnds(listCrashesOf(combination)),
    });
  }

  /** Publishes a fact of this VM, which the table then passes to `onFact`. */
  function publish(body: CrashFact | ClearanceFact): void {
    publisher.publish(keyOf(body), body);
  }

  function clear(content: string, reason: ClearanceFact['reason']): void {
    log.info('content-cleared', { content, reason });
    publish({ kind: 'clearance', content, reason, wallMs: Math.floor(clock.wallMs()) });
  }

  function isDue(): boolean {
    return isEvaluationDue || (judgement.dueAtMs !== null && clock.nowMs() >= judgement.dueAtMs);
  }

  function refresh(): boolean {
    if (!isDue()) return false;
    const before = judgement;
    evaluate();
    // Contents that this VM has served recently are suspected only by VMs that have not.
    const known = [...judgement.contents].filter(served.has);
    known.forEach((content) => clear(content, 'served'));
    if (known.length > 0) evaluate();
    return hasNewCauses(before, judgement);
  }

  /** Republishes ageing crashes, so that what keeps coming stays quarantined. */
  function renew(rows: readonly CrashRow[]): void {
    const nowMs = clock.nowMs();
    rows
      .filter(({ receivedAtMs }) => nowMs - receivedAtMs > CRASH_RETENTION_MS / 2)
      .forEach((row) => publish({ ...row.body, agedMs: Math.round(nowMs - endedAtMsOf(row)) }));
  }

  function crashesOf(content: RequestContent): readonly CrashRow[] {
    refresh();
    // Usually no content is suspected, and no digest has to be computed.
    return crashesByContent.size === 0 ? [] : (crashesByContent.get(digestContent(content)) ?? []);
  }

  function hasContent(content: RequestContent): boolean {
    refresh();
    return judgement.contents.size > 0 && judgement.contents.has(digestContent(content));
  }

  /** The quarantined combination that a prompt contains; undefined if there is none. */
  function findCombination(content: RequestContent): readonly string[] | undefined {
    refresh();
    if (judgement.combinations.length === 0) return undefined;
    const present = partsOf(content);
    return judgement.combinations.find((combination) =>
      combination.every((part) => present.includes(part)),
    );
  }

  /** @throws SpoolplankError `quarantined`. */
  function refuse(cause: 'content' | 'parts', name: string, rows: readonly CrashRow[]): never {
    renew(rows);
    metrics.count('spoolplank_requests_quarantined_total', { cause });
    const lastMs = Math.max(...rows.map(({ receivedAtMs }) => receivedAtMs));
    const ageS = Math.round((clock.nowMs() - lastMs) / MS_PER_S);
    const subject = cause === 'content' ? 'Content' : 'Prompt with';
    throw new SpoolplankError('quarantined', {
      detail: `${subject} ${name}: ${countCrashes(rows)} ended, the last one ${ageS} s ago.`,
      retryAfterMs: CRASH_RETENTION_MS,
    });
  }

  function drawKeys(): readonly string[] {
    const all = [...keys];
    if (all.length <= REPUBLISHED_FACTS) return all;
    const drawn = Array.from(
      { length: REPUBLISHED_FACTS },
      () => all[random.nextInt(all.length)] ?? '',
    );
    return [...new Set(drawn)];
  }

  return {
    has: (content) => hasContent(content) || findCombination(content) !== undefined,
    check(content) {
      if (hasContent(content)) refuse('content', digestContent(content), crashesOf(content));
      const combination = findCombination(content);
      if (combination) refuse('parts', nameOf(combination), listCrashesOf(combination));
    },
    mayRetry: (content) => countCrashes(crashesOf(content)) < QUARANTINE_CRASHES - 1,
    isSuspected: (content) => crashesOf(content).length > 0,
    recordCrash(end) {
      const { content, instanceId, turn, evidence, ranMs } = end;
      const body: CrashFact = { kind: 'crash', ...end };
      // Skips a run that was already reported for another copy of the request, by any VM, and
      // contents that were served recently.
      if (table.find(keyOf(body)) || served.has(content)) return;
      publish(body);
      refresh();
      const ends = countCrashes(crashesByContent.get(content) ?? []);
      log.info('content-suspected', {
        content,
        instanceId,
        turn,
        ranMs,
        evidence,
        ends,
        parts: end.parts ?? [],
      });
      metrics.count('spoolplank_content_ends_total', {});
    },
    recordServed(content, sentAtMs = clock.nowMs()) {
      const isTracked = content.request.body.length <= MAX_TRACKED_BYTES;
      if (isTracked) served.record(digestContent(content));
      if (crashesOf(content).length > 0) clear(digestContent(content), 'served');
      parts.recordServed(partsOf(content), sentAtMs);
    },
    release(name) {
      refresh();
      const combination = judgement.combinations.find((each) => nameOf(each) === name);
      combination?.forEach((part) => parts.clear(part, 'operator', clock.nowMs()));
      if (combination) return true;
      if (!crashesByContent.has(name)) return false;
      clear(name, 'operator');
      return true;
    },
    onFact(body) {
      const key = keyOf(body);
      keys.delete(key);
      keys.add(key);
      if (keys.size > MAX_KEYS) keys.delete([...keys][0] ?? '');
      isEvaluationDue = true;
    },
    refresh,
    get dueAtMs() {
      return judgement.dueAtMs;
    },
    sweep() {
      keys.forEach((key) => {
        if (!table.find(key)) keys.delete(key);
      });
      evaluate();
    },
    listOutgoingFacts() {
      const nowMs = clock.nowMs();
      if (nowMs < republishAtMs) return publisher.list();
      republishAtMs = nowMs + REPUBLISH_EVERY_MS;
      return publisher.list(drawKeys());
    },
    describe() {
      refresh();
      const contents = [...crashesByContent].map(([content, rows]) => ({
        content,
        isQuarantined: judgement.contents.has(content),
        ends: describeEnds(rows),
      }));
      const combinations = judgement.combinations.map((combination) => ({
        content: nameOf(combination),
        isQuarantined: true,
        ends: describeEnds(listCrashesOf(combination)),
      }));
      return [...contents, ...combinations];
    },
  };
}
