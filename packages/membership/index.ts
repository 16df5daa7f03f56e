export * from './src/announcement';
export * from './src/directory';
