/** Processes hops on an engine: checks fencing, queues for a batch, runs layers, forwards. */
import type { ServerResponse } from 'node:http';
import { SpoolplankError } from '@spoolplank/shared';
import type { FakeEngineOptions } from './engineOptions';
import type { Hop, LayerRun, StreamOrder } from './engineProtocol';
import { createHopLink } from './hopLink';
import type { HopLink } from './hopLink';
import type { KvStore } from './kvStore';
import type { StepLoop } from './stepLoop';
import type { StreamTable } from './streamTable';
import { embed, sample, tokenize } from './textModel';

/** Faults that a test can inject while the engine runs. */
export interface EngineFaults {
  linkDelayMs: number;
  linkBytesPerS: number;
  /** First layer that the reported lineage leaves out, to test that callers detect the gap. */
  skippedLayer: number | null;
  refusesStreams: boolean;
  /** Position at which answers end early, as if they were complete. */
  endAfter: number | null;
}

export interface EngineStageOptions {
  readonly options: FakeEngineOptions;
  readonly faults: EngineFaults;
  readonly loop: StepLoop;
  readonly kv: KvStore;
  readonly streams: StreamTable;
}

export interface EngineStage {
  /** Every execution of the engine's layers, for tests to verify. */
  readonly records: readonly LayerRun[];
  receiveHop(hop: Hop): void;
  /**
   * Opens a stream as the first stage of its chain.
   *
   * @throws SpoolplankError `forbidden` for a stale fencing number or a reused handle.
   */
  beginStream(order: StreamOrder, response: ServerResponse): void;
}

const MAX_RECORDS = 500_000;

export function createEngineStage(parts: EngineStageOptions): EngineStage {
  const { options, faults, loop, kv, streams } = parts;
  const links = new Map<string, HopLink>();
  const records: LayerRun[] = [];
  /** Highest fencing number seen for each session, on engines that check it. */
  const fencingNumbers = new Map<string, number>();
  const releasedHandles = new Set<string>();

  function linkTo(hop: Hop, stageIndex: number): HopLink {
    const stage = hop.stages[stageIndex];
    if (!stage)
      throw new SpoolplankError('bad-request', { detail: `The chain has no stage ${stageIndex}.` });
    // Keyed by address: a restarted engine keeps its name but gets a new address.
    const address = `${stage.host}:${stage.port}`;
    const known = links.get(address);
    if (known) return known;
    const link = createHopLink(stage, () => ({
      delayMs: faults.linkDelayMs,
      bytesPerS: faults.linkBytesPerS,
    }));
    links.set(address, link);
    return link;
  }

  function checkFencing({ session, fencingNumber }: Pick<Hop, 'session' | 'fencingNumber'>): void {
    if (!options.isFencingChecked) return;
    const highest = fencingNumbers.get(session) ?? 0;
    if (fencingNumber < highest)
      throw new SpoolplankError('forbidden', {
        detail: `Fencing number ${fencingNumber} is stale.`,
      });
    fencingNumbers.set(session, fencingNumber);
  }

  /** Assigned below: the handlers and `receiveHop` call each other. */
  let receiveHop: (hop: Hop) => void = () => {};

  function reportProblem(hop: Hop, problem: string): void {
    const problemHop: Hop = {
      ...hop,
      kind: 'problem',
      stageIndex: 0,
      activations: [],
      problem,
    };
    if (hop.stageIndex === 0) receiveHop(problemHop);
    else linkTo(hop, 0).send(problemHop);
  }

  function record(hop: Hop): void {
    if (records.length >= MAX_RECORDS) records.shift();
    records.push({
      handle: hop.handle,
      session: hop.session,
      fromPosition: hop.fromPosition,
      toPosition: hop.fromPosition + hop.activations.length - 1,
      firstLayer: options.firstLayer,
      lastLayer: options.lastLayer,
    });
  }

  function forward(hop: Hop, activations: readonly number[]): void {
    const { skippedLayer } = faults;
    const mark = {
      engine: options.name,
      firstLayer: options.firstLayer,
      lastLayer: skippedLayer === null ? options.lastLayer : skippedLayer - 1,
    };
    const lineage = [...hop.lineage, mark];
    const isLast = hop.stageIndex === hop.stages.length - 1;
    if (!isLast) {
      linkTo(hop, hop.stageIndex + 1).send({
        ...hop,
        stageIndex: hop.stageIndex + 1,
        activations,
        lineage,
      });
      return;
    }
    const tokenId = sample(activations.at(-1) ?? 0);
    const fromPosition = hop.fromPosition + activations.length;
    const tokenHop: Hop = {
      ...hop,
      kind: 'token',
      stageIndex: 0,
      fromPosition,
      activations: [tokenId],
      lineage,
    };
    if (hop.stages.length === 1) receiveHop(tokenHop);
    else linkTo(hop, 0).send(tokenHop);
  }

  function runLayers(hop: Hop): void {
    if (releasedHandles.has(hop.handle)) return;
    const heldPositions = kv.positions(hop.handle);
    if (heldPositions !== hop.fromPosition) {
      reportProblem(
        hop,
        `${options.name} holds ${heldPositions} positions, expected ${hop.fromPosition}`,
      );
      return;
    }
    record(hop);
    forward(
      hop,
      hop.activations.map((activation) => kv.run(hop.handle, activation)),
    );
  }

  function queueActivations(hop: Hop): void {
    // Tokens of a prompt whose prefix is cached add no prefill time.
    const cachedTokens = hop.fromPosition === 0 ? kv.cachedPrefixLength(hop.activations) : 0;
    const extraTokens = Math.max(0, hop.activations.length - 1 - cachedTokens);
    loop.add({ priority: hop.priority, extraTokens, run: () => runLayers(hop) });
  }

  /** Releases a handle on this stage and on all later ones. */
  function releaseHandle(hop: Hop): void {
    if (releasedHandles.has(hop.handle)) return;
    releasedHandles.add(hop.handle);
    kv.release(hop.handle);
    if (hop.stageIndex + 1 < hop.stages.length) {
      linkTo(hop, hop.stageIndex + 1).send({
        ...hop,
        kind: 'cancel',
        stageIndex: hop.stageIndex + 1,
        activations: [],
      });
    }
  }

  function receiveToken(hop: Hop): void {
    const tokenId = hop.activations[0] ?? 0;
    const isMoreWanted = streams.deliver(hop.handle, tokenId, hop.lineage);
    if (!isMoreWanted) {
      releaseHandle(hop);
      return;
    }
    queueActivations({
      ...hop,
      kind: 'activations',
      activations: [embed(tokenId)],
      lineage: [],
    });
  }

  const HOP_HANDLERS: Readonly<Record<Hop['kind'], (hop: Hop) => void>> = {
    activations: queueActivations,
    token: receiveToken,
    cancel: releaseHandle,
    problem(hop) {
      streams.fail(hop.handle, hop.problem ?? 'unknown problem');
      releaseHandle(hop);
    },
  };

  receiveHop = (hop) => {
    try {
      if (hop.kind === 'activations') checkFencing(hop);
    } catch {
      reportProblem(hop, `${options.name} rejected a stale fencing number`);
      return;
    }
    HOP_HANDLERS[hop.kind](hop);
  };

  function beginStream(order: StreamOrder, response: ServerResponse): void {
    checkFencing(order);
    if (streams.has(order.handle) || releasedHandles.has(order.handle)) {
      throw new SpoolplankError('forbidden', {
        detail: `Handle ${order.handle} is already in use or released.`,
      });
    }
    const inputs = [...tokenize(order.prompt), ...order.historyTokenIds].map(embed);
    const hop: Hop = {
      ...order,
      stageIndex: 0,
      kind: 'activations',
      fromPosition: 0,
      activations: inputs,
      lineage: [],
    };
    streams.open(order, response, () => releaseHandle(hop));
    queueActivations(hop);
  }

  return { records, receiveHop: (hop) => receiveHop(hop), beginStream };
}
