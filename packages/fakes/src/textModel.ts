/**
 * A deterministic model for the fake engines. Each token depends on every layer, in order, and,
 * through the layers' key-value state, on all earlier tokens. A layer that is skipped, run twice
 * or run on the wrong state therefore changes the text.
 */
const WORDS: readonly string[] = [
  'skip',
  'yard',
  'permit',
  'gate',
  'lorry',
  'booking',
  'shuttle',
  'refund',
  'the',
  'a',
  'of',
  'to',
  'is',
  'for',
  'and',
  'on',
  'at',
  'driver',
  'depot',
  'manifest',
  'barrier',
  'terminal',
  'agent',
  'quote',
  'site',
  'ticket',
  'with',
  'will',
  'from',
  'by',
  'ready',
  'due',
];

const MULTIPLIER_A = 0x85_eb_ca_6b;
const MULTIPLIER_B = 0xc2_b2_ae_35;

/** Number of distinct tokens that the model can produce. */
export const VOCABULARY_SIZE = 4096;

/** Mixes two 32-bit numbers into one; the finalizer of MurmurHash3. */
export function mix(a: number, b: number): number {
  let x = (a ^ Math.imul(b + 0x9e_37_79_b9, MULTIPLIER_A)) >>> 0;
  x = Math.imul(x ^ (x >>> 16), MULTIPLIER_A) >>> 0;
  x = Math.imul(x ^ (x >>> 13), MULTIPLIER_B) >>> 0;
  return (x ^ (x >>> 16)) >>> 0;
}

/** Splits a prompt into token ids. */
export function tokenize(prompt: string): readonly number[] {
  return prompt
    .split(/\s+/)
    .filter((word) => word !== '')
    .map(
      (word) =>
        [...word].reduce((hash, character) => mix(hash, character.codePointAt(0) ?? 0), 1) %
        VOCABULARY_SIZE,
    );
}

/** Returns the activation that enters the first layer for a token. */
export function embed(tokenId: number): number {
  return mix(tokenId, 0x51_7c_c1_b7);
}

/** Selects the next token from the output of the last layer. */
export function sample(activation: number): number {
  return activation % VOCABULARY_SIZE;
}

/** Returns the text of a token. */
export function renderToken(tokenId: number): string {
  const word = WORDS[tokenId % WORDS.length] ?? '';
  return tokenId % 11 === 0 ? ` ${word}${tokenId}.` : ` ${word}`;
}

/** Computes a layer's output for an activation, given the layer's state. */
export function runLayer(layer: number, activation: number, state: number): number {
  return mix(mix(activation, layer), state);
}

/** Computes a layer's state after it has processed an activation. */
export function nextLayerState(state: number, activation: number): number {
  return mix(state, activation);
}

/** Computes the complete answer locally; a correct run must match it byte for byte. */
export function expectedAnswer(prompt: string, layers: number, maxTokens: number): string {
  const states = new Array<number>(layers).fill(0);
  const step = (tokenId: number): number => {
    let activation = embed(tokenId);
    for (let layer = 0; layer < layers; layer += 1) {
      const output = runLayer(layer, activation, states[layer] ?? 0);
      states[layer] = nextLayerState(states[layer] ?? 0, activation);
      activation = output;
    }
    return sample(activation);
  };
  const promptTokens = tokenize(prompt);
  let next = promptTokens.map(step).at(-1) ?? 0;
  const answer: number[] = [];
  while (answer.length < maxTokens) {
    answer.push(next);
    next = step(next);
  }
  return answer.map(renderToken).join('');
}
