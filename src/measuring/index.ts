export {LoadProber} from './load_prober.js';
