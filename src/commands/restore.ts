import {ok} from 'neverthrow';
import {partKey} from '../decisions/configuration/index.js';
import type {Command} from './types.js';
import {requireTarget} from './types.js';

/** Takes a drained upstream back into use. */
export const restore: Command = {
  name: 'restore',
  precondition: requireTarget,
  perform: (draft, {target}) => {
    if (target.type === 'upstream') {
      draft.remove(partKey('drain', target.service, target.name));
    }
    return ok(undefined);
  },
};
