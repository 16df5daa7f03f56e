/**
 * Records when each data centre last lost an engine.
 *
 * The record is needed for engines that crash and restart two to five seconds later without any
 * layers. A new layout of their chain moves the layer boundaries of all its engines and makes the
 * chain unavailable for four to six seconds; the restarted engine only has to load its own layers.
 */
import type { ObservedEngine } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';

export interface EngineLosses {
  /** Records which engines of a service are serving now. */
  record(service: string, placed: readonly ObservedEngine[]): void;
  /** Whether the data centre lost an engine so recently that it may still restart. */
  isReturnLikely(dataCentre: string): boolean;
}

/** A crashed engine is away for two to five seconds, and then sends its next announcement. */
const RETURN_WINDOW_MS = 6000;

export function createEngineLosses({ clock }: { readonly clock: Clock }): EngineLosses {
  const servingByService = new Map<string, ReadonlyMap<string, string>>();
  const lostAtMs = new Map<string, number>();

  return {
    record(service, placed) {
      const serving = new Map(
        placed.filter(({ isServing }) => isServing).map(({ id, dataCentre }) => [id, dataCentre]),
      );
      servingByService.get(service)?.forEach((dataCentre, id) => {
        if (!serving.has(id)) lostAtMs.set(dataCentre, clock.nowMs());
      });
      servingByService.set(service, serving);
    },
    isReturnLikely(dataCentre) {
      const atMs = lostAtMs.get(dataCentre) ?? Number.NEGATIVE_INFINITY;
      return clock.nowMs() - atMs < RETURN_WINDOW_MS;
    },
  };
}
