/** Key-value state of the sessions on one engine, with limited memory and a prefix cache. */
import { nextLayerState, runLayer } from './textModel';

/** Layer states of one session. */
interface SessionState {
  /** Current state of each layer. */
  readonly layerStates: number[];
  /** Activations that entered the first layer so far; they identify the state as a prefix. */
  readonly inputs: number[];
}

/** Serialized state of a session, for its transfer to another engine. */
export interface KvExport {
  readonly handle: string;
  readonly firstLayer: number;
  readonly lastLayer: number;
  readonly positions: number;
  readonly layerStates: readonly number[];
  readonly inputs: readonly number[];
  /** Detects an export that was truncated or corrupted in transfer. */
  readonly checksum: number;
}

export interface KvStoreOptions {
  readonly firstLayer: number;
  readonly lastLayer: number;
  readonly memoryTokens: number;
  /** Called when a prefix is added to the cache or evicted from it. */
  readonly onCacheEvent: (kind: 'stored' | 'dropped', handle: string, tokens: number) => void;
}

export interface KvStore {
  readonly usedTokens: number;
  readonly sessions: number;
  /** Number of positions that a session has processed. */
  positions(handle: string): number;
  /** Runs the engine's layers over one activation and returns the output of the last one. */
  run(handle: string, activation: number): number;
  /** Length of the longest cached prefix of the inputs, for which no prefill is needed. */
  cachedPrefixLength(inputs: readonly number[]): number;
  /** Releases a session; its state stays in the prefix cache until memory is needed. */
  release(handle: string): void;
  exportState(handle: string): KvExport | null;
  /** Imports a state; returns false if it is truncated or belongs to other layers. */
  importState(handle: string, state: KvExport): boolean;
}

function checksumOf({ layerStates, inputs, positions }: Omit<KvExport, 'checksum'>): number {
  return [...layerStates, ...inputs, positions].reduce(
    (sum, value) => nextLayerState(sum, value),
    7,
  );
}

function isPrefix(prefix: readonly number[], whole: readonly number[]): boolean {
  return prefix.length <= whole.length && prefix.every((value, index) => value === whole[index]);
}

export function createKvStore({
  firstLayer,
  lastLayer,
  memoryTokens,
  onCacheEvent,
}: KvStoreOptions): KvStore {
  const activeSessions = new Map<string, SessionState>();
  /** States of released sessions, in order of release; the oldest is evicted first. */
  const cachedPrefixes = new Map<string, SessionState>();
  let usedTokens = 0;
  const layerCount = lastLayer - firstLayer + 1;

  function stateOf(handle: string): SessionState {
    const known = activeSessions.get(handle);
    if (known) return known;
    const state = { layerStates: new Array<number>(layerCount).fill(0), inputs: [] };
    activeSessions.set(handle, state);
    return state;
  }

  function evictPrefixes(): void {
    for (const [handle, { inputs }] of cachedPrefixes) {
      if (usedTokens <= memoryTokens) return;
      cachedPrefixes.delete(handle);
      usedTokens -= inputs.length;
      onCacheEvent('dropped', handle, inputs.length);
    }
  }

  return {
    get usedTokens() {
      return usedTokens;
    },
    get sessions() {
      return activeSessions.size;
    },
    positions: (handle) => activeSessions.get(handle)?.inputs.length ?? 0,
    run(handle, input) {
      const state = stateOf(handle);
      let activation = input;
      for (let offset = 0; offset < layerCount; offset += 1) {
        const before = state.layerStates[offset] ?? 0;
        const output = runLayer(firstLayer + offset, activation, before);
        state.layerStates[offset] = nextLayerState(before, activation);
        activation = output;
      }
      state.inputs.push(input);
      usedTokens += 1;
      evictPrefixes();
      return activation;
    },
    cachedPrefixLength(inputs) {
      const prefixes = [...cachedPrefixes.values()].filter((state) =>
        isPrefix(state.inputs, inputs),
      );
      return Math.max(0, ...prefixes.map((state) => state.inputs.length));
    },
    release(handle) {
      const state = activeSessions.get(handle);
      if (!state) return;
      activeSessions.delete(handle);
      cachedPrefixes.set(handle, state);
      onCacheEvent('stored', handle, state.inputs.length);
      evictPrefixes();
    },
    exportState(handle) {
      const state = activeSessions.get(handle) ?? cachedPrefixes.get(handle);
      if (!state) return null;
      const body = {
        handle,
        firstLayer,
        lastLayer,
        positions: state.inputs.length,
        layerStates: [...state.layerStates],
        inputs: [...state.inputs],
      };
      return { ...body, checksum: checksumOf(body) };
    },
    importState(handle, state) {
      const hasSameLayers = state.firstLayer === firstLayer && state.lastLayer === lastLayer;
      const isIntact =
        state.checksum === checksumOf(state) && state.inputs.length === state.positions;
      if (!hasSameLayers || !isIntact || state.layerStates.length !== layerCount) return false;
      activeSessions.set(handle, {
        layerStates: [...state.layerStates],
        inputs: [...state.inputs],
      });
      usedTokens += state.positions;
      evictPrefixes();
      return true;
    },
  };
}
