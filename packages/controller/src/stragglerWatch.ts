/**
 * Polls the engines of this data centre for their slowdown and publishes the stragglers, engines
 * that run slower than others of their kind.
 *
 * The watch detects engines that become six or twelve times slower for some seconds. They still
 * announce themselves and accept connections, but every stream whose chain includes one of them
 * pauses for longer than its target allows.
 */
import { FACT_KEYS, readSlowdown } from '@spoolplank/membership';
import type { BackendFact, FactTable, SystemFact } from '@spoolplank/membership';
import type { EventLog } from '@spoolplank/node';
import type { Clock } from '@spoolplank/shared';
import type { EngineOrders } from './engineOperations';

export interface StragglerWatchOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: FactTable<SystemFact>;
  readonly orders: Pick<EngineOrders, 'inspect'>;
  readonly dataCentre: string;
  /** Whether this control VM is the designated one that polls the engines of its data centre. */
  readonly isDesignated: () => boolean;
}

export interface StragglerWatch {
  /** Polls the engines that are due; called periodically. */
  tick(): void;
}

/** Each poll counts as a probe: with this interval, 40 engines cost 20 probes per second. */
const POLL_INTERVAL_MS = 2000;
/** Smaller changes of the slowdown are not published, to save a message to every VM. */
const MIN_CHANGE = 0.25;

export function createStragglerWatch(options: StragglerWatchOptions): StragglerWatch {
  const { clock, log, table, orders, dataCentre, isDesignated } = options;
  const polledAtMs = new Map<string, number>();

  function listEngines(): readonly BackendFact[] {
    return table
      .list()
      .flatMap(({ body }) =>
        body.kind === 'backend' && body.engine && body.dataCentre === dataCentre ? [body] : [],
      )
      .filter(({ state, engine }) => state === 'ready' && engine?.held);
  }

  async function poll({ instanceId, address }: BackendFact): Promise<void> {
    try {
      const { slowdown } = await orders.inspect({ instanceId, address });
      const known = readSlowdown(table, instanceId, clock.nowMs());
      const isChanged = Math.abs(slowdown - known) > MIN_CHANGE;
      if (isChanged) log.info('engine-slowdown', { instanceId, slowdown, known });
      // The fact of a slow engine is renewed with each poll, so that it does not expire.
      if (isChanged || slowdown > 1 + MIN_CHANGE) {
        table.put(FACT_KEYS.straggler(instanceId), clock.nowMs(), {
          kind: 'straggler',
          instanceId,
          slowdown,
        });
      }
    } catch (error) {
      // Entries whose streams use the engine detect whether it is lost.
      log.info('engine-unread', { engine: instanceId, problem: String(error) });
    }
  }

  /** The first polls are spread over one interval, so that engines are not all polled at once. */
  function isDue(instanceId: string, index: number, count: number): boolean {
    const nowMs = clock.nowMs();
    const known = polledAtMs.get(instanceId);
    if (known !== undefined) return nowMs - known >= POLL_INTERVAL_MS;
    polledAtMs.set(instanceId, nowMs - (POLL_INTERVAL_MS * index) / count);
    return false;
  }

  return {
    tick() {
      if (!isDesignated()) return;
      const engines = listEngines();
      engines.forEach((engine, index) => {
        if (!isDue(engine.instanceId, index, engines.length)) return;
        polledAtMs.set(engine.instanceId, clock.nowMs());
        void poll(engine);
      });
      const present = new Set(engines.map(({ instanceId }) => instanceId));
      polledAtMs.forEach((_, id) => {
        if (!present.has(id)) polledAtMs.delete(id);
      });
    },
  };
}
