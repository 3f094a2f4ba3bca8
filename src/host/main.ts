#!/usr/bin/env node
/** Starts an entry host from its unbundled modules. */

import './early_signals.js';
import {runHost} from './program.js';

await runHost();
