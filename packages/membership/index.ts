export * from './src/announcement';
export * from './src/directory';
export * from './src/documentCache';
export * from './src/factTable';
export * from './src/systemFacts';
export * from './src/feed';
export * from './src/feedClient';
export * from './src/feedServer';
