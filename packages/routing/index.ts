export * from './src/admission';
export * from './src/backendLoad';
export * from './src/chain';
export * from './src/fairQueue';
export * from './src/lineage';
export * from './src/retryBudget';
export * from './src/selection';
