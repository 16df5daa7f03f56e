/**
 * Determines to which backend servers this VM has no network path, from its own attempts only. A
 * VM is partitioned when several servers in a row are out of its reach and none of them shows a
 * sign of life meanwhile; it then assumes that it reaches none of the others either.
 */
import type { EventLog, Metrics } from '@spoolplank/node';
import type { Clock } from '@spoolplank/shared';

export interface ServerReachOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Number of signs of life from any server over direct connections; it only increases. */
  readonly countContacts: () => number;
  /** Number of known servers. */
  readonly countServers: () => number;
  /** Called when connections to an address take another route from now on; null for all. */
  readonly onChange: (address: string | null) => void;
}

export interface ServerReach {
  /** Records that a direct connection to a server was not accepted, or is silent. */
  recordFailure(address: string, evidence: string): void;
  /** Records that a direct connection to a server was accepted. */
  recordContact(address: string): void;
  /** Whether connections to a server must use another VM. */
  isUnreachable(address: string): boolean;
  /** Whether this VM reaches no server. */
  readonly isPartitioned: boolean;
  /** Ends the partition if a server has shown a sign of life; called periodically. */
  tick(): void;
  /** Servers to try directly now, those first that were tried longest ago. */
  takeDue(): readonly string[];
  /** Forgets servers that are not known any more. */
  sweep(isKnown: (address: string) => boolean): void;
  describe(): {
    readonly partitionedForMs: number | null;
    readonly unreachable: readonly string[];
  };
}

interface UnreachableServer {
  readonly sinceMs: number;
  /** Signs of life from any server at the time of the first failure. */
  readonly contacts: number;
  triedAtMs: number;
}

interface Partition {
  readonly sinceMs: number;
  readonly contacts: number;
}

/** Unreachable servers from which the fault is taken for this VM's, if all are silent. */
const MIN_SILENT_SERVERS = 3;
/** Servers that are tried directly at a time; a partitioned VM needs one of them to answer. */
const MAX_DUE = 8;
const MAX_DUE_PARTITIONED = 3;
const MAX_ROWS = 4096;

export function createServerReach(options: ServerReachOptions): ServerReach {
  const { clock, log, metrics, countContacts, onChange } = options;
  const rows = new Map<string, UnreachableServer>();
  let partition: Partition | null = null;

  function beginIfSilent(evidence: string): void {
    const contacts = countContacts();
    const silent = [...rows.values()].filter((row) => row.contacts === contacts).length;
    const needed = Math.max(1, Math.min(MIN_SILENT_SERVERS, options.countServers()));
    if (partition || silent < needed) return;
    partition = { sinceMs: clock.nowMs(), contacts };
    metrics.count('spoolplank_partitions_total');
    log.warn('servers-unreachable', { evidence, unreachable: rows.size, silent });
    onChange(null);
  }

  function end(address: string | null): void {
    if (!partition) return;
    const durationMs = Math.round(clock.nowMs() - partition.sinceMs);
    partition = null;
    log.info('servers-reachable', { address, durationMs, unreachable: rows.size });
    onChange(null);
  }

  return {
    recordFailure(address, evidence) {
      const known = rows.get(address);
      const nowMs = clock.nowMs();
      if (!known && rows.size < MAX_ROWS) {
        rows.set(address, { sinceMs: nowMs, contacts: countContacts(), triedAtMs: nowMs });
        metrics.count('spoolplank_servers_unreachable_total', { evidence });
        log.info('server-unreachable', { address, evidence });
        onChange(address);
      }
      beginIfSilent(evidence);
    },
    recordContact(address) {
      if (rows.delete(address)) onChange(address);
      end(address);
    },
    isUnreachable: (address) => partition !== null || rows.has(address),
    get isPartitioned() {
      return partition !== null;
    },
    tick() {
      if (partition && countContacts() > partition.contacts) end(null);
    },
    takeDue() {
      const nowMs = clock.nowMs();
      const due = [...rows]
        .sort(([, a], [, b]) => a.triedAtMs - b.triedAtMs)
        .slice(0, partition ? MAX_DUE_PARTITIONED : MAX_DUE);
      due.forEach(([, row]) => {
        row.triedAtMs = nowMs;
      });
      return due.map(([address]) => address);
    },
    sweep(isKnown) {
      [...rows.keys()].filter((address) => !isKnown(address)).forEach((key) => rows.delete(key));
    },
    describe: () => ({
      partitionedForMs: partition ? Math.round(clock.nowMs() - partition.sinceMs) : null,
      unreachable: [...rows.keys()],
    }),
  };
}
