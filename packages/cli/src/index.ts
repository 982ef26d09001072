/** The sassafrascleat command-line program; its exit codes for scripts. */
export { ExitCode } from "./exit_code.ts";
