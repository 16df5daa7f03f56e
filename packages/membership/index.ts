export * from './src/announcement';
export * from './src/directory';
export * from './src/documentCache';
export * from './src/factTable';
export * from './src/systemFacts';
