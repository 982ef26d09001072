/**
 * The environment of the programs that a build starts: the user's, but for
 * variables that change how Node.js runs or where it looks for packages.
 */
/** Options of Node.js that concern the network, such as its certificates. */
const NETWORK_OPTION = /^--(use|tls|openssl|dns|network|no-network)-/;

/** The environment of a child that runs with these options of Node.js. */
export function childEnvironment(nodeOptions = "") {
  const { NODE_PATH: _, ...others } = process.env;
  return { ...others, NODE_OPTIONS: nodeOptions };
}

/**
 * What the user's NODE_OPTIONS say about the network. The build line passes them
 * on by another name, since one that Node.js can't follow would end the build.
 */
export function networkOptions() {
  const options = process.env.BUILD_NODE_OPTIONS ?? "";
  return options.split(/\s+/).filter((option) => NETWORK_OPTION.test(option))
    .join(" ");
}
