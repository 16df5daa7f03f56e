/** Remembers which slow engines are given up, so that the decision has a hysteresis. */
import { readSlowdown } from '@spoolplank/membership';
import type { BackendFact, FactTable, SystemFact } from '@spoolplank/membership';
import { findTooSlowEngines } from '@spoolplank/routing';
import type { ModelDescription, RoutingDocument } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';
import type { DemandWatch } from './demand';

export interface SlowEngineWatchOptions {
  readonly clock: Clock;
  readonly table: FactTable<SystemFact>;
  readonly demand: Pick<DemandWatch, 'find'>;
}

export interface SlowEngineWatch {
  /** Judges the engines of a service that are ready; called before each plan. */
  record(
    service: string,
    model: ModelDescription,
    engines: readonly BackendFact[],
    document: RoutingDocument,
  ): void;
  /** Whether an engine is so slow that its layers no longer count. */
  isGivenUp(service: string, instanceId: string): boolean;
}

/** Slowdown from which engines of a service without streams are replaced. */
export const REPLACEMENT_SLOWDOWN = 2.5;

/** The smallest pause that streams of a service are allowed; null without such a route. */
export function findTargetGapMs({ routes }: RoutingDocument, service: string): number | null {
  const gapsMs = routes
    .filter(({ kind, targets }) => kind === 'stream' && targets.some((t) => t.service === service))
    .map(({ targetGapMs }) => targetGapMs);
  return gapsMs.length > 0 ? Math.min(...gapsMs) : null;
}

export function createSlowEngineWatch(options: SlowEngineWatchOptions): SlowEngineWatch {
  const { clock, table, demand } = options;
  const givenUpByService = new Map<string, ReadonlySet<string>>();
  const slowdownOf = (id: string) => readSlowdown(table, id, clock.nowMs());

  return {
    record(service, model, engines, document) {
      const targetGapMs = findTargetGapMs(document, service);
      if (targetGapMs === null) {
        const slow = engines.filter(
          ({ instanceId }) => slowdownOf(instanceId) >= REPLACEMENT_SLOWDOWN,
        );
        givenUpByService.set(service, new Set(slow.map(({ instanceId }) => instanceId)));
        return;
      }
      const before = givenUpByService.get(service);
      const dataCentres = new Set(engines.map(({ dataCentre }) => dataCentre));
      const givenUp = [...dataCentres].flatMap((dataCentre) => {
        const speeds = engines
          .filter((engine) => engine.dataCentre === dataCentre && engine.state === 'ready')
          .map(({ instanceId, engine, slots }) => ({
            id: instanceId,
            acceleratorKind: engine?.acceleratorKind ?? '',
            slots,
            held: engine?.held
              ? { first: engine.held.firstLayer, end: engine.held.endLayer }
              : null,
            slowdown: slowdownOf(instanceId),
            isGivenUp: before?.has(instanceId) ?? false,
          }));
        const needed = demand.find(dataCentre, service)?.requests ?? null;
        return [...findTooSlowEngines(speeds, { model, targetGapMs, demand: needed })];
      });
      givenUpByService.set(service, new Set(givenUp));
    },
    isGivenUp: (service, instanceId) => givenUpByService.get(service)?.has(instanceId) ?? false,
  };
}
