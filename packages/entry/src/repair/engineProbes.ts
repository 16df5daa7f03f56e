/**
 * Probes engines from one VM of their data centre on behalf of all others.
 *
 * When an engine is lost, all streams of its path fall silent on all entries at once. If each of
 * seventy VMs connected to each engine of the path, the connections would cost more than the loss.
 * So all of them ask one VM, the allocator of that data centre's slots. It probes once for all
 * requests that arrive close together, and replies to each requester directly.
 *
 * Agreement is counted for each engine, not for each path: streams run over many paths, several for
 * each head and others after a repair, and what the silent ones have in common is the lost engine.
 * When it was counted for each path, two engines lost at once were found after 110 to 200 ms and
 * after 460 to 500 ms.
 */
import type { MemberFact } from '@spoolplank/membership';
import type { EventLog, PeerClient, PeerMethod } from '@spoolplank/node';
import type { LossVerdict } from '@spoolplank/reach';
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
  /** Whether other VMs miss an engine too that this VM could not connect to. */
  readonly confirmLoss?: (address: string) => Promise<LossVerdict>;
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
/**
 * Time for which a probe is reused. Requests about a lost engine arrive within one or two ticks.
 * The intact engines of its paths are named as often as it is; this bounds the connections to them.
 */
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
 * Number of VMs that must name an engine in a silent path before it is probed. On a path with one
 * or two streams, each VM alone sees a pause several times a second, and probing for every request
 * would cost more than the loss of an engine.
 */
const MIN_REQUESTERS = 3;
/** Window for the requests about one engine: all its entries ask within two of their ticks. */
const REQUEST_WINDOW_MS = 80;
/** Covers the request window, one probe, the network round trip, and delays on a busy VM. */
const CALL_TIMEOUT_MS = 240;
/** Maximum number of engines probed for one call; no path has more. */
const MAX_ENGINES = 32;
const MAX_CACHE_ENTRIES = 512;

/** An engine that was named in a silent path. */
interface NamedEngine {
  /** Time at which each VM last named the engine, by host, within the window. */
  readonly namedAtMs: Map<string, number>;
  /** Resolves when the next probe of the engine starts. */
  whenProbed: Promise<void>;
  resolveProbed: () => void;
}

function awaitNextProbe(engine: NamedEngine): void {
  engine.whenProbed = new Promise<void>((resolve) => {
    engine.resolveProbed = resolve;
  });
}

function createNamedEngine(): NamedEngine {
  const engine: NamedEngine = {
    namedAtMs: new Map(),
    whenProbed: Promise.resolve(),
    resolveProbed: () => {},
  };
  awaitNextProbe(engine);
  return engine;
}

export function createEngineProbes(options: EngineProbesOptions): EngineProbes {
  const { clock, delay, log, peers, host, operations, findDesignated } = options;
  const { confirmLoss = () => Promise.resolve('lost') } = options;
  const probes = new Map<string, Probe>();
  const namedEngines = new Map<string, NamedEngine>();

  /**
   * Whether one of several connections is accepted. The next attempt starts as soon as the previous
   * one is refused or has been pending for `NEXT_TRY_DELAY_MS`, so that a lost packet costs little
   * time.
   */
  async function probe(address: string): Promise<boolean> {
    const startedAtMs = clock.nowMs();
    const tries: Promise<boolean>[] = [];
    let verdict: Promise<LossVerdict> = Promise.resolve('lost');
    for (let count = 0; count < MAX_TRIES; count += 1) {
      // A busy process may resume late. Without the minimum, the remainder could be 0, which means
      // no timeout and a wait of several seconds.
      const leftMs = Math.max(1, PROBE_TIMEOUT_MS - (clock.nowMs() - startedAtMs));
      const tried = operations.isReachable(address, leftMs);
      tries.push(tried);
      // Other VMs are asked beside the last attempt, as a lost engine must be found quickly.
      if (count === MAX_TRIES - 1) verdict = confirmLoss(address);
      const isAccepting = await Promise.race([tried, delay(NEXT_TRY_DELAY_MS)]);
      if (isAccepting === true) return true;
    }
    const isAccepting = (await Promise.all(tries)).includes(true);
    const isLocalStall = clock.nowMs() - startedAtMs > LOCAL_STALL_MS;
    if (isAccepting || isLocalStall) return true;
    return (await verdict) !== 'lost';
  }

  function findProbe(address: string): Probe | undefined {
    const known = probes.get(address);
    return known && clock.nowMs() - known.atMs < PROBE_REUSE_MS ? known : undefined;
  }

  function findNamedEngine(instanceId: string): NamedEngine {
    const known = namedEngines.get(instanceId);
    if (known) return known;
    if (namedEngines.size >= MAX_CACHE_ENTRIES) namedEngines.clear();
    const engine = createNamedEngine();
    namedEngines.set(instanceId, engine);
    return engine;
  }

  /** Starts a probe of an engine unless one is reused. */
  function startProbe(address: string, engine: NamedEngine): void {
    if (findProbe(address)) return;
    if (probes.size >= MAX_CACHE_ENTRIES) probes.clear();
    probes.set(address, { atMs: clock.nowMs(), isAccepting: probe(address) });
    engine.resolveProbed();
    awaitNextProbe(engine);
  }

  /** Records that a VM named an engine, which is probed once enough VMs have named it. */
  function recordNamed(requester: string, { instanceId, address }: BackendTarget): NamedEngine {
    const nowMs = clock.nowMs();
    const engine = findNamedEngine(instanceId);
    const { namedAtMs } = engine;
    namedAtMs.forEach((atMs, earlier) => {
      if (nowMs - atMs >= REQUEST_WINDOW_MS) namedAtMs.delete(earlier);
    });
    namedAtMs.set(requester, nowMs);
    const quorum = Math.min(MIN_REQUESTERS, options.countEntries());
    if (namedAtMs.size >= quorum) startProbe(address, engine);
    return engine;
  }

  /**
   * The engines that a probe, just made or still running, finds lost. Engines without a probe that
   * started by `latestMs` count as intact.
   */
  async function findLost(
    engines: readonly BackendTarget[],
    latestMs: number,
  ): Promise<readonly string[]> {
    const found = await Promise.all(
      engines.map(async ({ instanceId, address }) => {
        const known = findProbe(address);
        const isAccepting = known && known.atMs <= latestMs ? await known.isAccepting : true;
        return { instanceId, isAccepting };
      }),
    );
    return found.filter(({ isAccepting }) => !isAccepting).map(({ instanceId }) => instanceId);
  }

  /**
   * Replies as soon as an engine of the path is found lost, else when the window ends. An intact
   * engine that many paths share may be probed first, which says nothing about the others. The
   * reply waits for all probes of the path that start within the window, as a second lost engine
   * would cost a second repair, but for no later ones, so that it arrives within the call timeout.
   */
  async function answer(
    requester: string,
    path: readonly BackendTarget[],
  ): Promise<readonly string[]> {
    const engines = path.slice(0, MAX_ENGINES);
    const named = engines.map((engine) => recordNamed(requester, engine));
    const endMs = clock.nowMs() + REQUEST_WINDOW_MS;
    let isOver = false;
    const whenOver = delay(REQUEST_WINDOW_MS).then(() => {
      isOver = true;
    });
    for (;;) {
      // Taken before the probes are read, so that a probe that starts meanwhile is not missed.
      const nextProbes = named.map(({ whenProbed }) => whenProbed);
      const isLastLook = isOver;
      const lost = await findLost(engines, endMs);
      const isComplete = named.every(({ whenProbed }, index) => whenProbed === nextProbes[index]);
      if (isComplete && (lost.length > 0 || isLastLook)) return lost;
      await Promise.race([...nextProbes, whenOver]);
    }
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
        return await peers.call<readonly string[]>(peer, PROBE_METHOD, call, {
          timeoutMs: CALL_TIMEOUT_MS,
        });
      } catch (error) {
        const problem = error instanceof Error ? error.message : String(error);
        log.info('probe-unanswered', { designated: designated.host, dataCentre, problem });
        return null;
      }
    },
  };
}
