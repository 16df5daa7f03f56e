/** Selects a chain of engines for a model and checks the lineage of a token. */
import type { Announcement } from '@spoolplank/membership';
import { createBackendLoadTable, findLineageProblem, selectChain } from '@spoolplank/routing';

const LAYERS = 80;

function engine(
  name: string,
  firstLayer: number,
  lastLayer: number,
  stepBaseMs: number,
): Announcement {
  return {
    name,
    dataCentre: 'dorval',
    host: '10.0.0.1',
    port: 9000,
    incarnation: 1,
    sequence: 1,
    state: 'ready',
    services: [],
    load: { running: 0, queued: 0 },
    engine: {
      model: 'drafts',
      version: 'v1',
      adapters: [],
      acceleratorKind: 'kind-a',
      firstLayer,
      lastLayer,
      maxBatch: 16,
      stepBaseMs,
      stepPerItemMs: 0.2,
      isFencingChecked: true,
      links: [],
    },
  };
}

export function runExample(write: (line: string) => void): void {
  const engines = [
    engine('slow', 0, 39, 40),
    engine('quick', 0, 39, 10),
    engine('rest', 40, 79, 12),
  ];
  const request = {
    model: 'drafts',
    layers: LAYERS,
    excluded: new Set<string>(),
    dataCentre: 'dorval',
    nowMs: 0,
  };
  const chain = selectChain(engines, request, createBackendLoadTable());
  if (!chain) return;
  write(`chain: ${chain.stages.map(({ name }) => name).join(' -> ')}`);
  const lineage = chain.stages.map(({ name, firstLayer, lastLayer }) => ({
    engine: name,
    firstLayer,
    lastLayer,
  }));
  const token = { position: 0, tokenId: 1, text: ' skip', lineage };
  write(`token: ${findLineageProblem(token, 0, chain.stages, LAYERS) ?? 'sound'}`);
  const short = { ...token, lineage: lineage.slice(1) };
  write(
    `token that missed a stage: ${findLineageProblem(short, 0, chain.stages, LAYERS) ?? 'sound'}`,
  );
}
