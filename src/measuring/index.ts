export {MeasureDesk} from './measure_desk.js';
