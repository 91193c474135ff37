"""Exit codes, timeouts and limits of the command."""

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_UNCERTAIN = 5
EXIT_KEY_REFUSED = 6
EXIT_NOT_FOUND = 7
EXIT_PARTIAL = 8

EXIT_CODES = (
    (0, "done"),
    (EXIT_FAILED, "an entry instance gave an unexpected answer"),
    (EXIT_INVALID, "wrong arguments, or the configuration has findings"),
    (EXIT_CONFLICT, "another operator changed the same items; nothing was applied"),
    (EXIT_UNREACHABLE, "no entry instance answered, or the table service is down; no change"),
    (EXIT_UNCERTAIN, "it is not known whether the change was made; compare with `diff`"),
    (EXIT_KEY_REFUSED, "the operator key was refused"),
    (EXIT_NOT_FOUND, "what was named is not known"),
    (EXIT_PARTIAL, "some entry instances did not confirm"),
)

CONNECT_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 15.0
CONFIRM_TIMEOUT_SECONDS = 10.0
"""Wait for a change whose response was lost; a version is active everywhere within 8 s."""
CONFIRM_POLL_INTERVAL_SECONDS = 0.5
MAX_PARALLEL_REQUESTS = 16
