/** Finds out which engines are slow, when entries say that a data centre is. */
import { FACT_KEYS } from '@spoolplank/membership';
import type { BackendFact, FactTable, SystemFact } from '@spoolplank/membership';
import type { EventLog } from '@spoolplank/node';
import type { Clock } from '@spoolplank/shared';
import type { EngineOrders } from './engineOperations';

export interface SlownessWatchOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: FactTable<SystemFact>;
  readonly orders: EngineOrders;
  /** Whether this process leads; the others leave the engines alone. */
  readonly isLeader: () => boolean;
}

export interface SlownessWatch {
  /** Lets time pass: asks engines where that is due. */
  tick(): void;
  slownessOf(instanceId: string): number;
}

/** A report costs as much as a hundredth of a request: each engine is asked once in this time. */
const ASK_EVERY_MS = 1000;
/** What an entry said of a data centre counts for so long. */
const SIGNAL_MS = 1500;
/** Below this an engine is not worth telling others about. */
const NOTABLE_SLOWNESS = 1.5;
const CHANGE_SHARE = 0.3;

export function createSlownessWatch(options: SlownessWatchOptions): SlownessWatch {
  const { clock, log, table, orders } = options;
  const askedAtMs = new Map<string, number>();

  function slownessOf(instanceId: string): number {
    const fact = table.find(FACT_KEYS.slowness(instanceId));
    return fact?.body.kind === 'slowness' ? fact.body.factor : 1;
  }

  function listSlowDataCentres(): ReadonlySet<string> {
    const nowMs = clock.nowMs();
    const named = table.list().flatMap(({ body, heardAtMs }) => body.kind === 'load' && nowMs - heardAtMs < SIGNAL_MS ? body.slowDataCentres : []);
    return new Set(named);
  }

  async function ask({ instanceId, address }: BackendFact, sequence: number): Promise<void> {
    const { slowness } = await orders.inspect({ instanceId, address });
    const factor = slowness < NOTABLE_SLOWNESS ? 1 : slowness;
    const known = slownessOf(instanceId);
    if (Math.abs(factor - known) <= known * CHANGE_SHARE) return;
    const key = FACT_KEYS.slowness(instanceId);
    const next = Math.max(sequence, (table.find(key)?.sequence ?? 0) + 1);
    table.put(key, next, { kind: 'slowness', instanceId, factor });
    log.info('engine-slowness', { instanceId, address, factor, before: known });
  }

  return {
    slownessOf,
    tick() {
      if (!options.isLeader()) return;
      const nowMs = clock.nowMs();
      const slow = listSlowDataCentres();
      table.list().forEach(({ body, sequence }) => {
        if (body.kind !== 'backend' || !body.engine?.held || body.state !== 'ready') return;
        const { instanceId, dataCentre } = body;
        const isDue = nowMs - (askedAtMs.get(instanceId) ?? -ASK_EVERY_MS) >= ASK_EVERY_MS;
        if (!isDue || (!slow.has(dataCentre) && slownessOf(instanceId) === 1)) return;
        askedAtMs.set(instanceId, nowMs);
        ask(body, sequence).catch((error: unknown) =>
          log.info('engine-silent', { instanceId, problem: String(error) }),
        );
      });
    },
  };
}
