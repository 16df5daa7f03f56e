/**
 * Adds the paths of streams to the lists of held slots that a VM sends to an allocator.
 *
 * The engine ids of a path take several times the bytes of a slot, and a busy VM sends a list with
 * each of its asks. Paths are therefore listed once a second, at once when one has changed, and to
 * a VM that was not asked before, such as a new allocator. A lost list is made up for by the next.
 */
import { keyOfPath, toHeldPath } from '@spoolplank/routing';
import type { HeldPath, HeldSlot, HoldingsReport, PathStage } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';

export interface HeldPathsOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  /** The path that the stream with a slot runs over now. */
  readonly pathOf: (ticket: string) => readonly PathStage[] | undefined;
}

export interface HeldPaths {
  /** The slots for the next list to the allocator `host` of a data centre, with paths when due. */
  describe(
    dataCentre: string,
    host: string,
    slots: readonly HeldSlot[],
  ): Pick<HoldingsReport, 'slots' | 'paths'>;
}

/** Shorter than the interval of lists, so that each renewal of the leases contains the paths. */
const REPEAT_MS = 900;

interface Sent {
  readonly host: string;
  readonly atMs: number;
  /** Path of each slot when it was last listed. */
  stages: ReadonlyMap<string, readonly PathStage[]>;
}

export function createHeldPaths({ clock, pathOf }: HeldPathsOptions): HeldPaths {
  const sentTo = new Map<string, Sent>();

  function withPaths(
    slots: readonly HeldSlot[],
    stagesOf: ReadonlyMap<string, readonly PathStage[]>,
  ): Pick<HoldingsReport, 'slots' | 'paths'> {
    const indexes = new Map<string, number>();
    const paths: HeldPath[] = [];
    const listed = slots.map((slot) => {
      const stages = stagesOf.get(slot.ticket);
      if (!stages) return slot;
      const path = toHeldPath(stages);
      const index = indexes.get(keyOfPath(path)) ?? paths.push(path) - 1;
      indexes.set(keyOfPath(path), index);
      return { ...slot, path: index };
    });
    return { slots: listed, paths };
  }

  return {
    describe(dataCentre, host, slots) {
      const nowMs = clock.nowMs();
      const sent = sentTo.get(dataCentre);
      const stagesOf = new Map<string, readonly PathStage[]>();
      let hasChanged = false;
      slots.forEach(({ ticket }) => {
        const stages = pathOf(ticket);
        if (!stages) return;
        stagesOf.set(ticket, stages);
        const before = sent?.stages.get(ticket);
        hasChanged ||= before !== undefined && before !== stages;
      });
      const isDue = sent?.host !== host || nowMs - sent.atMs >= REPEAT_MS;
      if (sent && !isDue && !hasChanged) {
        sent.stages = stagesOf;
        return { slots };
      }
      sentTo.set(dataCentre, { host, atMs: nowMs, stages: stagesOf });
      return withPaths(slots, stagesOf);
    },
  };
}
