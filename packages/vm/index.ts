export * from './src/logger';
export * from './src/vmContext';
