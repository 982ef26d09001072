/** Exit codes by which scripts can distinguish the outcomes of a command. */

/** Exit codes of `sassafrascleat`. */
export enum ExitCode {
  Ok = 0,
  /** Internal error of the program or of the daemon that responded. */
  Internal = 1,
  /** Arguments, files or settings that can't be used; nothing was sent. */
  Usage = 2,
  /** The base version of the change is not the current version. */
  Outdated = 3,
  /** The object or the change is not valid. */
  Invalid = 4,
  /** The call was not run: the daemon or its store was unavailable. */
  NotRun = 5,
  /** The change may have been accepted; repeat it with the same patch id. */
  Unknown = 6,
  NotAuthorized = 7,
  NotFound = 8,
}
