/** One-time statements of this VM, which are repeated with each exchange for a while. */
import type { Fact, FactTable, FactUpdate, SystemFact } from '@spoolplank/membership';
import type { Clock } from '@spoolplank/shared';

export interface OwnStatementsOptions {
  readonly clock: Clock;
  readonly table: FactTable<SystemFact>;
  /** Sends the statements of this VM to others at once. */
  readonly spread: () => void;
}

export interface OwnStatements {
  /** States a fact with the current time and sends it at once. */
  state(key: string, body: SystemFact): void;
  /** Statements to send with the next exchange, including the facts with the given keys. */
  list(alsoKeys?: readonly string[]): readonly FactUpdate<SystemFact>[];
  /** Removes statements that are no longer repeated. */
  sweep(): void;
}

/** Covers the case that this VM has just switched its control VM, or that one has restarted. */
const STATEMENT_REPEAT_MS = 5000;

export function createOwnStatements({ clock, table, spread }: OwnStatementsOptions): OwnStatements {
  const statedAtMs = new Map<string, number>();

  function toUpdate({
    key,
    sequence,
    receivedAtMs,
    body,
  }: Fact<SystemFact>): FactUpdate<SystemFact> {
    return { key, sequence, ageMs: Math.round(clock.nowMs() - receivedAtMs), body };
  }

  return {
    state(key, body) {
      table.put(key, Math.floor(clock.wallMs()), body);
      statedAtMs.set(key, clock.nowMs());
      spread();
    },
    list(alsoKeys = []) {
      const nowMs = clock.nowMs();
      const repeated = [...statedAtMs]
        .filter(([, atMs]) => nowMs - atMs < STATEMENT_REPEAT_MS)
        .map(([key]) => key);
      return [...new Set([...repeated, ...alsoKeys])].flatMap((key) => {
        const fact = table.find(key);
        return fact ? [toUpdate(fact)] : [];
      });
    },
    sweep() {
      statedAtMs.forEach((atMs, key) => {
        if (clock.nowMs() - atMs > STATEMENT_REPEAT_MS) statedAtMs.delete(key);
      });
    },
  };
}
