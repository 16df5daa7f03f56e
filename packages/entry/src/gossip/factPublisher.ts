/**
 * Publishes single facts of this VM, such as a crash, and repeats them with each exchange for some
 * seconds. Facts are records that all VMs replicate by gossip.
 */
import type { Fact, FactTable, FactUpdate, SystemFact } from '@spoolplank/membership';
import type { Clock } from '@spoolplank/shared';

export interface FactPublisherOptions {
  readonly clock: Clock;
  readonly table: FactTable<SystemFact>;
  /** Sends the facts that this VM publishes at once, instead of with the next exchange. */
  readonly exchangeNow: () => void;
}

export interface FactPublisher {
  /** Publishes a fact under the current time, at once. */
  publish(key: string, body: SystemFact): void;
  /** The facts to send with the next exchange: the repeated ones, and those with the given keys. */
  list(alsoKeys?: readonly string[]): readonly FactUpdate<SystemFact>[];
  /** Forgets facts that are no longer repeated. */
  sweep(): void;
}

/**
 * Time for which a fact is repeated, in case the first message was lost because this VM was just
 * switching its control VM, or because the control VM restarted.
 */
const PUBLISH_REPEAT_MS = 5000;

export function createFactPublisher({
  clock,
  table,
  exchangeNow,
}: FactPublisherOptions): FactPublisher {
  const publishedAtMs = new Map<string, number>();

  function toUpdate({
    key,
    sequence,
    receivedAtMs,
    body,
  }: Fact<SystemFact>): FactUpdate<SystemFact> {
    return { key, sequence, ageMs: Math.round(clock.nowMs() - receivedAtMs), body };
  }

  return {
    publish(key, body) {
      // The VM that published the fact before may have a wall clock that is ahead of this one.
      const supersededSequence = table.find(key)?.sequence ?? 0;
      table.put(key, Math.max(Math.floor(clock.wallMs()), supersededSequence + 1), body);
      publishedAtMs.set(key, clock.nowMs());
      exchangeNow();
    },
    list(alsoKeys = []) {
      const nowMs = clock.nowMs();
      const repeated = [...publishedAtMs]
        .filter(([, atMs]) => nowMs - atMs < PUBLISH_REPEAT_MS)
        .map(([key]) => key);
      return [...new Set([...repeated, ...alsoKeys])].flatMap((key) => {
        const fact = table.find(key);
        return fact ? [toUpdate(fact)] : [];
      });
    },
    sweep() {
      publishedAtMs.forEach((atMs, key) => {
        if (clock.nowMs() - atMs > PUBLISH_REPEAT_MS) publishedAtMs.delete(key);
      });
    },
  };
}
