import {buildObject} from './attributes.js';
import type {Command} from './types.js';
import {requireTarget, targetKey} from './types.js';

export const change: Command = {
  name: 'change',
  precondition: requireTarget,
  perform: (draft, statement) =>
    buildObject(statement, draft.get(targetKey(statement.target))).map(object =>
      draft.put(object),
    ),
};
