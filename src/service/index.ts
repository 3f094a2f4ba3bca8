export * from './service_runtime.js';
export {ServiceDirectory} from './service_directory.js';
