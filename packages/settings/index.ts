export * from './src/edits';
export * from './src/effective';
export * from './src/policy';
export * from './src/tree';
export * from './src/validation';
export * from './src/vmSettings';
export * from './src/reference';
