export type {WaitingRequest} from './waiting_room.js';
export {WaitingRoom} from './waiting_room.js';
