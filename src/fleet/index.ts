export {FleetState} from './fleet_state.js';
export type {FleetMemberParts} from './fleet_member.js';
export {FleetMember} from './fleet_member.js';
export {RelayServer} from './relay_server.js';
