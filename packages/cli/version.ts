/** Version of this build, from `package.json`. */
import manifest from '../../package.json' with {type: 'json'};

/** Semantic version. */
export const {version} = manifest;
