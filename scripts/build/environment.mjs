/**
 * The environment of the programs that a build starts: the user's, but for
 * variables that change how Node.js runs or where it looks for packages.
 */

/** Options of Node.js that concern the network, such as its certificates. */
const NETWORK_OPTION = /^--(use|tls|openssl|dns|network|no-network)-/;

/** Has WebAssembly reserve no more address space than it uses. */
const SMALL_WASM = "--disable-wasm-trap-handler";

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

/**
 * Options for the bundler, which is WebAssembly: without them it can't start where
 * the address space is limited. Early releases of Node.js 20 don't know them.
 */
export function bundlerOptions() {
  const known = process.allowedNodeEnvironmentFlags.has(SMALL_WASM);
  return known ? SMALL_WASM : "";
}
