import {ok} from 'neverthrow';
import {partKey} from '../decisions/configuration/index.js';
import type {Command} from './types.js';
import {requireTarget, targetKey} from './types.js';

/** Removes an object and what depends on it. */
export const remove: Command = {
  name: 'remove',
  precondition: requireTarget,
  perform: (draft, {target}) => {
    if (target.type === 'service') {
      draft.partsOf(target.name).forEach(key => draft.remove(key));
    }
    if (target.type === 'upstream') {
      draft.remove(partKey('drain', target.service, target.name));
    }
    draft.remove(targetKey(target));
    return ok(undefined);
  },
};
