export {FleetState} from './fleet_state.js';
export type {FleetMemberParts} from './fleet_member.js';
export {FleetMember} from './fleet_member.js';
export type {BadRecordObserver, RecordCategory} from './record_applier.js';
export type {FollowedTopic} from './store_reader.js';
export {RecordApplier} from './record_applier.js';
export type {TopicBatch} from './types.js';
export {RelayServer} from './relay_server.js';
