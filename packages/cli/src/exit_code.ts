/** Exit codes, so that scripts can tell the outcomes apart. */

/** How the program ended. */
export enum ExitCode {
  Ok = 0,
  /** A fault of the program or of the daemon that answered. */
  Internal = 1,
  /** Arguments, files or settings that can't be used; nothing was sent. */
  Usage = 2,
  /** The change was built on another version than the one in force. */
  Outdated = 3,
  /** The object or the change is not valid. */
  Invalid = 4,
  /** The call was not run: the daemon or its store could not be used. */
  NotRun = 5,
  /** The change may have been accepted; ask again with its patch id. */
  Unknown = 6,
  NotAuthorized = 7,
  NotFound = 8,
}
