export * from './src/addressBook';
export * from './src/dispatch/backendOperations';
export * from './src/callerRequest';
export * from './src/entryNode';
export { createEntryRole } from './src/sessions/entryRole';
export type { EntryRole } from './src/sessions/entryRole';
export { createSessionStore } from './src/sessions/sessionStore';
export { createChainFailureDetector } from './src/sessions/chainFailureDetector';
export type { ChainFailureDetector } from './src/sessions/chainFailureDetector';
