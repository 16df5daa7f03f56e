export * from './src/addressBook';
export * from './src/backendOperations';
export * from './src/callerRequest';
export * from './src/entryNode';
