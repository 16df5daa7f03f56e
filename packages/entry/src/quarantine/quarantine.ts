/**
 * Quarantines request contents that crash the backend servers that run them.
 *
 * Every VM publishes which servers ended under which content as facts, which are records that all
 * VMs replicate by gossip, and decides from the facts of all VMs. No single VM keeps a count that
 * could be lost, delayed or partitioned off. See
 * docs/design/quarantine.md.
 */
import { CRASH_RETENTION_MS, FACT_KEYS } from '@spoolplank/membership';
import type {
  ClearanceFact,
  CrashFact,
  Fact,
  FactTable,
  FactUpdate,
  SystemFact,
} from '@spoolplank/membership';
import type { EventLog, Metrics } from '@spoolplank/node';
import { findPoisonContents, QUARANTINE_CRASHES } from '@spoolplank/routing';
import { SpoolplankError } from '@spoolplank/shared';
import type { Clock, JsonValue, Random } from '@spoolplank/shared';
import type { CrashedRun } from './crashReporter';
import type { FactPublisher } from '../gossip/factPublisher';
import { digestContent } from './requestContent';
import type { RequestContent } from './requestContent';
import { createServedContents } from './servedContents';

export interface QuarantineOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly table: FactTable<SystemFact>;
  readonly publisher: FactPublisher;
}

export interface Quarantine {
  /**
   * Checks that a content may be run.
   *
   * @throws SpoolplankError `quarantined` if it may not; the request has not run.
   */
  check(content: RequestContent): void;
  /** Whether a content is quarantined. */
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
   * Records that a server has served a content and survived, which clears it of its earlier
   * crashes.
   */
  recordServed(content: RequestContent): void;
  /** Clears a content by its digest, for an operator; false if it was not suspected. */
  release(digest: string): boolean;
  /** Must be called when a crash or a clearance was published, by this VM or another. */
  onFact(body: CrashFact | ClearanceFact): void;
  /**
   * Re-evaluates the quarantine if facts have arrived; returns whether a content was newly
   * quarantined.
   */
  refresh(): boolean;
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

type CrashRow = Fact<SystemFact> & { readonly body: CrashFact };

function keyOf(body: CrashFact | ClearanceFact): string {
  return body.kind === 'crash' ? FACT_KEYS.crash(body) : FACT_KEYS.clearance(body.content);
}

/** Identifies a crashed run. The turn distinguishes incarnations reached under one instance id. */
function runOf({ instanceId, turn }: CrashFact): string {
  return `${instanceId}#${turn}`;
}

export function createQuarantine(options: QuarantineOptions): Quarantine {
  const { clock, random, log, metrics, table, publisher } = options;
  /** Keys of the crashes and clearances in the table, in the order in which they were received. */
  const keys = new Set<string>();
  const served = createServedContents({ clock });
  let crashesByContent: ReadonlyMap<string, readonly CrashRow[]> = new Map();
  let quarantined: ReadonlySet<string> = new Set();
  /** Set when a fact arrives. Facts arrive in bursts, so they are evaluated together on demand. */
  let isEvaluationDue = false;
  let republishAtMs = clock.nowMs() + REPUBLISH_EVERY_MS;

  function isCleared(row: CrashRow): boolean {
    const clearance = table.find(FACT_KEYS.clearance(row.body.content));
    return clearance !== undefined && clearance.receivedAtMs >= row.receivedAtMs;
  }

  function listCrashes(): readonly CrashRow[] {
    return [...keys].flatMap((key) => {
      const row = table.find(key);
      return row?.body.kind === 'crash' ? [{ ...row, body: row.body }] : [];
    });
  }

  function groupByContent(rows: readonly CrashRow[]): ReadonlyMap<string, readonly CrashRow[]> {
    const groups = new Map<string, CrashRow[]>();
    rows.forEach((row) => {
      const known = groups.get(row.body.content);
      if (known) known.push(row);
      else groups.set(row.body.content, [row]);
    });
    return groups;
  }

  function describeCrashes(digest: string) {
    const nowMs = clock.nowMs();
    return (crashesByContent.get(digest) ?? []).map(({ body, receivedAtMs, origin }) => ({
      instanceId: body.instanceId,
      turn: body.turn,
      evidence: body.evidence,
      ranMs: body.ranMs,
      ageMs: Math.round(nowMs - receivedAtMs),
      origin,
    }));
  }

  function evaluate(): void {
    const before = quarantined;
    isEvaluationDue = false;
    crashesByContent = groupByContent(listCrashes().filter((row) => !isCleared(row)));
    quarantined = findPoisonContents(
      [...crashesByContent.values()]
        .flat()
        .map(({ body }) => ({ ...body, instanceId: runOf(body) })),
    );
    const added = [...quarantined].filter((content) => !before.has(content));
    const released = [...before].filter((content) => !quarantined.has(content));
    added.forEach((content) =>
      log.warn('content-quarantined', { content, ends: JSON.stringify(describeCrashes(content)) }),
    );
    released.forEach((content) => log.info('content-released', { content }));
  }

  /** Publishes a fact of this VM, which the table then passes to `onFact`. */
  function publish(body: CrashFact | ClearanceFact): void {
    publisher.publish(keyOf(body), body);
  }

  function clear(content: string, reason: ClearanceFact['reason']): void {
    log.info('content-cleared', { content, reason });
    publish({ kind: 'clearance', content, reason, wallMs: Math.floor(clock.wallMs()) });
  }

  /** Republishes ageing crashes, so that a content that keeps coming stays quarantined. */
  function renew(digest: string): void {
    const nowMs = clock.nowMs();
    (crashesByContent.get(digest) ?? [])
      .filter(({ receivedAtMs }) => nowMs - receivedAtMs > CRASH_RETENTION_MS / 2)
      .forEach(({ body }) => publish(body));
  }

  function refresh(): boolean {
    if (!isEvaluationDue) return false;
    const before = quarantined;
    evaluate();
    // Contents that this VM has served recently are suspected only by VMs that have not.
    const known = [...quarantined].filter(served.has);
    known.forEach((content) => clear(content, 'served'));
    if (known.length > 0) evaluate();
    return [...quarantined].some((content) => !before.has(content));
  }

  /** Number of distinct server incarnations that crashed under a content. */
  function countCrashes(rows: readonly CrashRow[]): number {
    return new Set(rows.map(({ body }) => runOf(body))).size;
  }

  function crashesOf(content: RequestContent): readonly CrashRow[] {
    refresh();
    // Usually no content is suspected, and no digest has to be computed.
    return crashesByContent.size === 0 ? [] : (crashesByContent.get(digestContent(content)) ?? []);
  }

  function has(content: RequestContent): boolean {
    refresh();
    return quarantined.size > 0 && quarantined.has(digestContent(content));
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
    has,
    check(content) {
      if (!has(content)) return;
      const digest = digestContent(content);
      const rows = crashesOf(content);
      renew(digest);
      metrics.count('spoolplank_requests_quarantined_total', {});
      const lastMs = Math.max(...rows.map(({ receivedAtMs }) => receivedAtMs));
      const ageS = Math.round((clock.nowMs() - lastMs) / MS_PER_S);
      throw new SpoolplankError('quarantined', {
        detail: `Content ${digest}: ${countCrashes(rows)} ended, the last one ${ageS} s ago.`,
        retryAfterMs: CRASH_RETENTION_MS,
      });
    },
    mayRetry: (content) => countCrashes(crashesOf(content)) < QUARANTINE_CRASHES - 1,
    isSuspected: (content) => crashesOf(content).length > 0,
    recordCrash({ content, instanceId, turn, evidence, ranMs }) {
      const body: CrashFact = { kind: 'crash', content, instanceId, turn, evidence, ranMs };
      // Skips a run that was already reported for another copy of the request, by any VM, and
      // contents that were served recently.
      if (table.find(keyOf(body)) || served.has(content)) return;
      publish(body);
      refresh();
      const ends = countCrashes(crashesByContent.get(content) ?? []);
      log.info('content-suspected', { content, instanceId, turn, ranMs, evidence, ends });
      metrics.count('spoolplank_content_ends_total', {});
    },
    recordServed(content) {
      const isTracked = content.request.body.length <= MAX_TRACKED_BYTES;
      if (isTracked) served.record(digestContent(content));
      if (crashesOf(content).length > 0) clear(digestContent(content), 'served');
    },
    release(digest) {
      refresh();
      if (!crashesByContent.has(digest)) return false;
      clear(digest, 'operator');
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
      return [...crashesByContent.keys()].map((content) => ({
        content,
        isQuarantined: quarantined.has(content),
        ends: describeCrashes(content),
      }));
    },
  };
}
