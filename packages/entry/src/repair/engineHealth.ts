/**
 * Tracks the engines that this entry excludes. A suspected engine is one that some entry has found
 * lost; the suspicion is published as a fact, a record that all VMs replicate by gossip. An avoided
 * engine is one that this entry excludes for a short time without such a fact.
 */
import { FACT_KEYS, findBackend, hasRestarted } from '@spoolplank/membership';
import type { FactTable, FactUpdate, SystemFact } from '@spoolplank/membership';
import type { EventLog, Metrics } from '@spoolplank/node';
import type { Clock } from '@spoolplank/shared';

export interface EngineHealthOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly table: FactTable<SystemFact>;
  readonly dataCentre: string;
  /** Sends the facts that this VM publishes at once, instead of with the next exchange. */
  readonly exchangeNow: () => void;
}

export interface EngineHealth {
  /** Excludes an engine on this VM, by default for `DEFAULT_AVOID_MS`. */
  avoid(instanceId: string, durationMs?: number): void;
  isAvoided(instanceId: string): boolean;
  /** Engines that this VM avoids now. */
  listAvoided(): readonly string[];
  /** Reports a lost engine to all entries, unless the network path to it may be at fault. */
  suspect(instanceId: string, evidence: string): void;
  /**
   * Whether the streams of an engine are lost: it is suspected and has not announced itself since,
   * or it has restarted without their state.
   */
  isLost(instanceId: string): boolean;
  /** Suspicions of this entry that are still repeated with each exchange. */
  listOutgoingFacts(): readonly FactUpdate<SystemFact>[];
}

/** Exclusion of an engine that could not run its stage, because it is full or leaving. */
const DEFAULT_AVOID_MS = 500;
/**
 * Exclusion of an unresponsive engine of another data centre, until its announcements are missed.
 */
const REMOTE_AVOID_MS = 1200;
/**
 * Time for which a suspicion is published with each exchange. The first message may go to a control
 * VM that this VM is just replacing by another one.
 */
const SUSPICION_REPEAT_MS = 5000;

/** A suspicion of this entry, with the sequence number of the announcement that it refers to. */
interface OwnSuspicion {
  readonly sequence: number;
  readonly atMs: number;
}

export function createEngineHealth(options: EngineHealthOptions): EngineHealth {
  const { clock, log, metrics, table, dataCentre, exchangeNow } = options;
  const avoidedUntilMs = new Map<string, number>();
  const suspicions = new Map<string, OwnSuspicion>();

  function avoid(instanceId: string, durationMs = DEFAULT_AVOID_MS): void {
    avoidedUntilMs.set(instanceId, clock.nowMs() + durationMs);
  }

  function isAvoided(instanceId: string): boolean {
    return (avoidedUntilMs.get(instanceId) ?? 0) > clock.nowMs();
  }

  /** Avoids an engine of another data centre without a suspicion, as the path may be at fault. */
  function avoidRemote(instanceId: string, evidence: string): void {
    if (isAvoided(instanceId)) return;
    avoid(instanceId, REMOTE_AVOID_MS);
    log.info('engine-avoided', { instanceId, evidence });
  }

  return {
    avoid,
    isAvoided,
    listAvoided: () => [...avoidedUntilMs.keys()].filter(isAvoided),
    suspect(instanceId, evidence) {
      const announced = findBackend(table, instanceId);
      const sequence = Math.floor(announced?.sequence ?? 0);
      const known = suspicions.get(instanceId);
      if (known && known.sequence >= sequence) return;
      const engine = announced?.body;
      if (engine?.dataCentre !== dataCentre) {
        avoidRemote(instanceId, evidence);
        return;
      }
      suspicions.set(instanceId, { sequence, atMs: clock.nowMs() });
      log.warn('engine-suspected', {
        instanceId,
        address: engine.address,
        evidence,
        announcedAgeMs: announced ? Math.round(clock.nowMs() - announced.receivedAtMs) : null,
      });
      metrics.count('spoolplank_engines_suspected_total', { evidence });
      table.put(FACT_KEYS.suspicion(instanceId), sequence, { kind: 'suspicion', instanceId });
      exchangeNow();
    },
    isLost(instanceId) {
      if (hasRestarted(table, instanceId)) return true;
      const suspicion = table.find(FACT_KEYS.suspicion(instanceId));
      const announced = findBackend(table, instanceId);
      return suspicion !== undefined && suspicion.sequence >= Math.floor(announced?.sequence ?? 0);
    },
    listOutgoingFacts() {
      const nowMs = clock.nowMs();
      return [...suspicions]
        .filter(([, { atMs }]) => nowMs - atMs < SUSPICION_REPEAT_MS)
        .map(([instanceId, { sequence }]) => ({
          key: FACT_KEYS.suspicion(instanceId),
          sequence,
          ageMs: 0,
          body: { kind: 'suspicion', instanceId },
        }));
    },
  };
}
