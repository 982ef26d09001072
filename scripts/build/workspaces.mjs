/** The workspaces whose sources and packages make up the router's program. */
export const PROGRAM_WORKSPACES = [
  "packages/runtime",
  "packages/gateway",
  "platform",
];
