export * from './types.js';
export type {DistributedQuotasParts} from './distributed_quotas.js';
export {DistributedQuotas} from './distributed_quotas.js';
