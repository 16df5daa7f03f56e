export * from './src/caller';
export * from './src/childProcess';
export * from './src/deployment';
export * from './src/observe';
export * from './src/statistics';
