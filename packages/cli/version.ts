/** Version of this build, from `package.json`. */
import manifest from '../../package.json' with {type: 'json'};

export const {version} = manifest;
