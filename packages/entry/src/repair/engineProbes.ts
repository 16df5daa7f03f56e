/**
 * Probes engines from one VM of their data centre on behalf of all others.
 *
 * When an engine is lost, all streams of its path fall silent on all entries at once. If each of
 * seventy VMs connected to each engine of the path, the connections would cost more than the loss.
 * So all of them ask one VM, the allocator of that data centre's slots. It probes once for all
 * requests that arrive close together, and replies to each requester directly.
 */
import type { MemberFact } from '@spoolplank/membership';
import type { EventLog, PeerClient, PeerMethod } from '@spoolplank/node';
import type { Clock } from '@spoolplank/shared';
import type { BackendOperations, BackendTarget } from '../dispatch/backendOperations';

export interface EngineProbesOptions {
  readonly clock: Clock;
  readonly delay: (durationMs: number) => Promise<void>;
  readonly log: EventLog;
  readonly peers: PeerClient;
  /** Host name of this VM. */
  readonly host: string;
  readonly operations: Pick<BackendOperations, 'isReachable'>;
  /** The VM designated to probe the engines of a data centre; undefined when there is none. */
  readonly findDesignated: (dataCentre: string) => MemberFact | undefined;
  /** Number of known entries, including this one. */
  readonly countEntries: () => number;
}

export interface EngineProbes {
  /** RPC methods that other VMs call on this one. */
  readonly methods: Readonly<Record<string, PeerMethod>>;
  /**
   * Asks the designated VM of a data centre to probe engines. Resolves with the instance ids of the
   * lost ones, or with null when the VM did not reply.
   */
  requestProbe(
    dataCentre: string,
    engines: readonly BackendTarget[],
  ): Promise<readonly string[] | null>;
}

interface ProbeCall {
  readonly engines: readonly BackendTarget[];
}

/** A probe of an engine, which is reused for `PROBE_REUSE_MS`. */
interface Probe {
  readonly atMs: number;
  readonly isAccepting: Promise<boolean>;
}

const PROBE_METHOD = 'engines.probe';
/** Time for which a probe is reused. Requests about one path arrive within one or two ticks. */
const PROBE_REUSE_MS = 150;
/**
 * Connection attempts of one probe. They start `NEXT_TRY_DELAY_MS` apart and share one timeout. A
 * connection within a data centre takes 2 ms; at 10 % packet loss, all three attempts fail in one
 * of a thousand probes.
 */
const MAX_TRIES = 3;
const NEXT_TRY_DELAY_MS = 20;
const PROBE_TIMEOUT_MS = 80;
/**
 * Duration from which a failed probe proves nothing about the engine: it exceeds the timeout, so
 * this VM was suspended or throttled and may have missed an accepted connection.
 */
const LOCAL_STALL_MS = 120;
/**
 * Number of VMs that must report a silent path before it is probed. On a path with one or two
 * streams, each VM alone sees a pause several times a second, and probing for every request would
 * cost more than the loss of an engine.
 */
const MIN_REQUESTERS = 3;
/** Window for the requests about one silent path: all its entries ask within two of their ticks. */
const REQUEST_WINDOW_MS = 80;
/** Covers the request window, one probe, the network round trip, and delays on a busy VM. */
const CALL_TIMEOUT_MS = 240;
/** Maximum number of engines probed for one call; no path has more. */
const MAX_ENGINES = 32;
const MAX_CACHE_ENTRIES = 512;

/** VMs that recently reported a silent path, and a promise that resolves at the quorum. */
interface ProbeQuorum {
  readonly sinceMs: number;
  readonly requesters: Set<string>;
  readonly whenReached: Promise<void>;
  readonly resolveReached: () => void;
}

function createQuorum(sinceMs: number): ProbeQuorum {
  let resolveReached = (): void => {};
  const whenReached = new Promise<void>((resolve) => {
    resolveReached = resolve;
  });
  return { sinceMs, requesters: new Set(), whenReached, resolveReached };
}

export function createEngineProbes(options: EngineProbesOptions): EngineProbes {
  const { clock, delay, log, peers, host, operations, findDesignated } = options;
  const probes = new Map<string, Probe>();
  const quorums = new Map<string, ProbeQuorum>();

  /**
   * Whether one of several connections is accepted. The next attempt starts as soon as the previous
   * one is refused or has been pending for `NEXT_TRY_DELAY_MS`, so that a lost packet costs little
   * time.
   */
  async function probe(address: string): Promise<boolean> {
    const startedAtMs = clock.nowMs();
    const tries: Promise<boolean>[] = [];
    for (let count = 0; count < MAX_TRIES; count += 1) {
      // A busy process may resume late. Without the minimum, the remainder could be 0, which means
      // no timeout and a wait of several seconds.
      const leftMs = Math.max(1, PROBE_TIMEOUT_MS - (clock.nowMs() - startedAtMs));
      const tried = operations.isReachable(address, leftMs);
      tries.push(tried);
      const isAccepting = await Promise.race([tried, delay(NEXT_TRY_DELAY_MS)]);
      if (isAccepting === true) return true;
    }
    const isAccepting = (await Promise.all(tries)).includes(true);
    const isLocalStall = clock.nowMs() - startedAtMs > LOCAL_STALL_MS;
    return isAccepting || isLocalStall;
  }

  function probeShared(address: string): Promise<boolean> {
    const nowMs = clock.nowMs();
    const known = probes.get(address);
    if (known && nowMs - known.atMs < PROBE_REUSE_MS) return known.isAccepting;
    if (probes.size >= MAX_CACHE_ENTRIES) probes.clear();
    const isAccepting = probe(address);
    probes.set(address, { atMs: nowMs, isAccepting });
    return isAccepting;
  }

  async function findLost(engines: readonly BackendTarget[]): Promise<readonly string[]> {
    const found = await Promise.all(
      engines.slice(0, MAX_ENGINES).map(async ({ instanceId, address }) => ({
        instanceId,
        isAccepting: await probeShared(address),
      })),
    );
    return found.filter(({ isAccepting }) => !isAccepting).map(({ instanceId }) => instanceId);
  }

  function quorumOf(engines: readonly BackendTarget[]): ProbeQuorum {
    const name = engines.map(({ instanceId }) => instanceId).join(' ');
    const nowMs = clock.nowMs();
    const known = quorums.get(name);
    if (known && nowMs - known.sinceMs < REQUEST_WINDOW_MS) return known;
    if (quorums.size >= MAX_CACHE_ENTRIES) quorums.clear();
    const quorum = createQuorum(nowMs);
    quorums.set(name, quorum);
    return quorum;
  }

  /**
   * Probes once enough VMs have asked; a path that only a few VMs report as silent is just slow.
   */
  async function answer(requester: string, engines: readonly BackendTarget[]) {
    const quorum = quorumOf(engines);
    quorum.requesters.add(requester);
    const isReached = quorum.requesters.size >= Math.min(MIN_REQUESTERS, options.countEntries());
    if (isReached) quorum.resolveReached();
    else await Promise.race([quorum.whenReached, delay(REQUEST_WINDOW_MS)]);
    const isProbed = isReached || quorum.requesters.size >= MIN_REQUESTERS;
    return isProbed ? findLost(engines) : [];
  }

  return {
    methods: {
      [PROBE_METHOD]: async (params, sender) => {
        const { engines } = params as unknown as ProbeCall;
        return answer(sender, engines);
      },
    },
    async requestProbe(dataCentre, engines) {
      const designated = findDesignated(dataCentre);
      if (!designated) return null;
      if (designated.host === host) return answer(host, engines);
      const call: ProbeCall = { engines };
      const peer = { vmId: designated.host, host: designated.host, port: designated.peerPort ?? 0 };
      try {
        return await peers.call<readonly string[]>(peer, PROBE_METHOD, call, CALL_TIMEOUT_MS);
      } catch (error) {
        const problem = error instanceof Error ? error.message : String(error);
        log.info('probe-unanswered', { designated: designated.host, dataCentre, problem });
        return null;
      }
    },
  };
}
