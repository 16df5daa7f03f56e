export type { LossVerdict } from './src/indirectProbes';
export * from './src/serverPaths';
