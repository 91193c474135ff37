"""Catalogue of numbered log events; `docs/LOG_EVENTS.md` is generated from it."""

import enum
from dataclasses import dataclass

import logbook

_LOGGER = logbook.Logger("wasabiwell")


class Level(enum.Enum):
    """Level of a log event."""

    INFO = logbook.INFO
    WARNING = logbook.WARNING
    ERROR = logbook.ERROR


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Definition of one kind of log line.

    `template` is a `str.format` template of the fields. `action` is advice for operators. Events
    with `success` report normal results and are sampled under load. Numbers are never reused.
    Prompts and keys must not be fields.
    """

    number: int
    level: Level
    template: str
    action: str = "None."
    success: bool = False


ENTRY_STARTED = LogEvent(100, Level.INFO, "entry instance {node} serves callers on {address}")
ENTRY_LEAVING = LogEvent(101, Level.INFO, "entry instance {node} is leaving: {reason}")
ENTRY_STOPPED = LogEvent(102, Level.INFO, "entry instance {node} has stopped")
PLAINTEXT_LISTENER = LogEvent(
    103,
    Level.WARNING,
    "listener {address} is not on loopback and does not use TLS",
    "Configure TLS, or accept that traffic is readable on the network.",
)
BOOTSTRAP_ACCESS = LogEvent(
    104,
    Level.WARNING,
    "operators' interface used from {host} without an operator key, because none is configured",
    "Apply a configuration with an operator key.",
)
CERTIFICATE_LOADED = LogEvent(105, Level.INFO, "certificate {path} was loaded")
CERTIFICATE_REJECTED = LogEvent(
    106,
    Level.ERROR,
    "certificate {path} cannot be loaded, the previous one remains in use: {reason}",
    "Replace the certificate and its key with a matching pair before the previous one expires.",
)
TELEMETRY_FAILED = LogEvent(
    107,
    Level.WARNING,
    "{library}: {message}",
    "Check the OTLP receiver. Requests are not affected; spans and metrics may be missing.",
)
MEMBER_CHANGED = LogEvent(
    110, Level.INFO, "entry instance {member} is {status}, incarnation {incarnation}"
)
HAND_BACK_FAILED = LogEvent(
    111, Level.WARNING, "leaving: a component could not release its resources: {error}"
)
STREAMS_CUT = LogEvent(
    112,
    Level.WARNING,
    "leaving: {count} requests were still open at the drain limit",
    "Set --drain-limit-s above the duration of the longest request.",
)
RECOVERED_FROM_PEER = LogEvent(
    113,
    Level.INFO,
    "members, marks and configuration version {version} were recovered from peer {peer}",
)
LINES_LEFT_OUT = LogEvent(
    114,
    Level.WARNING,
    "log lines suppressed in the last second: {counts}; dropped since the start: {dropped}",
    "The rate of lines is limited for each event. Lines are dropped when the reader of standard "
    "output is too slow.",
)
METRICS_UNAVAILABLE = LogEvent(
    115,
    Level.WARNING,
    "metrics are not served: address {address} is in use",
    "Free the address, or set another one in the deploy file.",
)
LISTENERS_CLOSED = LogEvent(
    116,
    Level.INFO,
    "the listeners are closed; {queued} connections waited to be accepted, {busy} serve requests, "
    "{idle} are idle",
)
CONNECTIONS_CUT = LogEvent(
    117,
    Level.WARNING,
    "{count} connections were still open at the end of the stop and were cut, {busy} of them with "
    "requests",
    "Look for `request_not_served` and `streams_cut` just before.",
)
BACKGROUND_TASK_FAILED = LogEvent(
    118,
    Level.ERROR,
    "background task {task} failed: {error}; pause until it is started again: {pause_ms} ms",
    "Report this as a bug, with the log. Requests go on; what the task keeps current may be old.",
)
STOP_HANDLED_LATE = LogEvent(
    119,
    Level.WARNING,
    "the stop counts from {late_s} s ago, as its signal may have been delivered then: the event "
    "loop was slow or did not run",
    "The process was paused or had no processor time: look at the load of the machine.",
)
CONFIGURATION_IN_FORCE = LogEvent(200, Level.INFO, "configuration version {version} is active")
CONFIGURATION_INVALID = LogEvent(
    201,
    Level.ERROR,
    "configuration version {version} cannot be read: {findings}",
    "Upgrade this entry instance, or apply a configuration that its version supports.",
)
CONFIGURATION_ROW_UNREADABLE = LogEvent(
    202,
    Level.ERROR,
    "configuration row {key} cannot be decoded: {error}",
    "Upgrade this entry instance; it keeps its active version.",
)
STORE_UNAVAILABLE = LogEvent(
    300,
    Level.WARNING,
    "{service} is unavailable: {reason}",
    "Check the platform's service. Model requests continue; non-idempotent calls are refused.",
)
STORE_RECOVERED = LogEvent(301, Level.INFO, "{service} is available again")
ATTEMPT_FAILED = LogEvent(
    400, Level.WARNING, "request {request}: attempt {attempt} on {target} failed: {reason}"
)
RUN_RESULT_UNKNOWN = LogEvent(
    401,
    Level.WARNING,
    "request {request}: the call was sent but has no complete response: {reason}",
    "Check at the target whether the call ran; the caller got the error `result_unknown`.",
)
SETTLEMENT_GIVEN_UP = LogEvent(
    407,
    Level.WARNING,
    "too many run records wait for an update; one remains in status started instead of {status}",
    "Check the table service. A retry of the call gets the error `result_unknown`.",
)
TARGET_LOST = LogEvent(402, Level.WARNING, "target {target} does not accept connections")
TARGET_DRAINED = LogEvent(
    403, Level.INFO, "target {target} gets no new requests: drained by operator"
)
CREDIT_OWNER_UNREACHABLE = LogEvent(
    404,
    Level.WARNING,
    "entry instance {owner}, an owner of engines, does not respond: {reason}; a share of the "
    "free capacity is used without credits",
    "Check the network to that instance. Requests that an engine refuses as full wait.",
)
REQUEST_SUSPECTED = LogEvent(
    405,
    Level.WARNING,
    "target {target} crashed while it ran the request with fingerprint {fingerprint}",
)
REQUEST_QUARANTINED = LogEvent(
    406,
    Level.ERROR,
    "the request with fingerprint {fingerprint} is refused, because two targets crashed running it",
    "Find the cause of the crashes, then release the request.",
)
SUSPECT_TURN_SKIPPED = LogEvent(
    430,
    Level.WARNING,
    "the suspect with fingerprint {fingerprint} runs on target {target} without an exclusive "
    "lease: {reason}",
    "Check the table service. If the target crashes, all suspects running there are blamed.",
)
SUSPECT_TURN_NOT_ENDED = LogEvent(
    432,
    Level.WARNING,
    "the lease of the suspect with fingerprint {fingerprint} on target {target} was not released: "
    "{reason}",
    "Check the table service. Other suspects wait up to 30 s for this target.",
)
INTERRUPTION_ASSESSED = LogEvent(
    433,
    Level.INFO,
    "request {request} with fingerprint {fingerprint}, prompt parts {parts}: the response of "
    "target {target} was interrupted after {events} events: {reason}; connection lost: "
    "{connection_lost}, the target then {probe}, counted as a crash: {crashed}",
)
CAUSE_SUSPECTED = LogEvent(
    434,
    Level.WARNING,
    "target {target} crashed while it ran {cause}; crashed targets: {targets}, limit {limit}, "
    "different requests: {requests}, crashes explained by a refused part: {explained}, succeeded "
    "lately: {proven}",
)
SUSPICION_CLEARED = LogEvent(
    435,
    Level.INFO,
    "{crashes} crashes no longer count against {cause}, after a success or a release",
)
CAUSE_REFUSED = LogEvent(
    436,
    Level.ERROR,
    "{cause} is refused for {refusal_s} s, because it crashed the targets {targets}",
    "Find the cause of the crashes, then use `quarantine release`. The refusal also ends by "
    "itself; a further crash doubles its time.",
)
CAUSE_RELEASED = LogEvent(438, Level.INFO, "{cause} was released by an operator")
REFUSAL_ROW_UNREADABLE = LogEvent(
    437,
    Level.WARNING,
    "row {key} of the quarantine table cannot be decoded: {reason}",
    "Upgrade this entry instance. The refusal of that row is not applied here.",
)
REFUSAL_RESTORED = LogEvent(
    439,
    Level.WARNING,
    "a row of the quarantine table refuses {cause} for another {refusal_s} s, after {crashes} "
    "crashes",
)
REFUSAL_EXPIRED = LogEvent(440, Level.INFO, "the refusal of {cause} has expired")
PART_VOUCHED_FOR = LogEvent(
    441, Level.INFO, "the other instances were told that {cause} has succeeded here lately"
)
REFUSAL_REMOVED = LogEvent(
    442, Level.INFO, "the row of {cause} was removed from the quarantine table"
)
STORE_ROLE_CHANGED = LogEvent(
    445,
    Level.INFO,
    "this instance reads the store as {role} and no longer as {before}; it has rank {zone_rank} in "
    "its zone of {instances} reachable instances",
)
INCARNATION_RAISED = LogEvent(
    446,
    Level.WARNING,
    "entry instance {peer} knew the later incarnation {known} of this one, which now has a higher "
    "one; the clock of this machine was probably set back",
)
ROUTES_UNCONFIRMED = LogEvent(
    447,
    Level.WARNING,
    "this instance reads the routes itself, as the last confirmation is {age_ms} ms old; it waited "
    "{waited_ms} ms for its turn, a follower reported the store as unreachable: {unreachable}, its "
    "own last read failed: {read_failed}",
)
LISTING_GAP = LogEvent(
    448,
    Level.INFO,
    "a notice of entry instance {sender} with revision {revision} does not fit the list of targets "
    "of revision {own_revision}; the whole list is read in {delay_ms} ms",
)
CONNECTION_FAILED = LogEvent(
    452,
    Level.ERROR,
    "a caller's connection failed and was closed: {error}; the other connections go on",
)
REQUEST_HEAD_REFUSED = LogEvent(
    454,
    Level.WARNING,
    "a request of {caller} was refused before its head was complete: {reason}, {message}",
)
REQUEST_GIVEN_UP = LogEvent(
    495,
    Level.WARNING,
    "a {kind} of {caller} was given up with {size} of {expected} bytes: {reason}; {used} of "
    "{capacity} bytes were buffered",
    "See buffered_bytes and intake_refusals in the metrics; find out what the caller sends.",
)
CONNECTION_DISPLACED = LogEvent(
    496,
    Level.WARNING,
    "an idle connection of {caller} was closed: no more connections fit the limit of descriptors",
    "Find out why callers keep so many connections, or raise the limit of descriptors.",
)
LIMIT_REPLACED = LogEvent(
    455,
    Level.ERROR,
    "limit {limit} of the configuration is {value}, which is out of its range; {used} applies",
    "Correct the limit in the configuration.",
)
TARGETS_RETAINED = LogEvent(
    451,
    Level.INFO,
    "the list of targets was {age_ms} ms old and lacks {targets}; they are kept for {left_ms} ms, "
    "as targets register again after an outage of the store",
)
STORE_RETURNED = LogEvent(
    460,
    Level.WARNING,
    "the store has returned from a copy: {source} tells of era {era}, revision {revision}, after "
    "era {era_before}, revision {revision_before}; older lists of targets are dropped from now on",
    "Compare the changes of the last seconds before the return with what the store has now.",
)
STORE_ANSWER_OUTDATED = LogEvent(
    461,
    Level.WARNING,
    "a list of targets of revision {revision} from {source} was dropped, as this instance has "
    "revision {own_revision} (each ERA/NUMBER); {dropped} were dropped since the last such line",
    "If it lasts and names a peer, look at the peer's connection to the store.",
)
TARGETS_HELD_BACK = LogEvent(
    462,
    Level.INFO,
    "the copy of the store, at revision {revision}, lists {targets}, which had left before; they "
    "get no work until their entries are written again, for {left_ms} ms at most",
)
ROW_REWRITTEN = LogEvent(
    463,
    Level.INFO,
    "row {key} of table {table} was written again, as the store may have lost it with its return "
    "from a copy",
)
HELPER_REFUSED = LogEvent(
    449,
    Level.WARNING,
    "request {request}: target {lead} refused it because of the helper {helper}, which {probe}",
)
TARGET_AWAITED = LogEvent(
    450,
    Level.WARNING,
    "request {request}: target {target} {state} after {silence_ms} ms without progress; it is "
    "waited for, as no other target would take over",
)
PAUSE_REQUESTED = LogEvent(
    443,
    Level.WARNING,
    "target {target} asked for a pause of {requested_s} s and gets no requests for {pause_s} s",
    "Look at the load of the target if this lasts.",
)
ADVICE_UNREADABLE = LogEvent(
    444,
    Level.WARNING,
    "header {header} of target {target} has a value that is not understood: {value}",
)
ROUTED = LogEvent(
    409,
    Level.INFO,
    "request {request}, attempt {sends} on route {route}: target {target}, helpers {helpers}, "
    "{prompt} prompt tokens, expected {expected_ms} ms, {left_ms} ms left, routes version {routes}",
    success=True,
)
ANSWERED = LogEvent(
    428,
    Level.INFO,
    "request {request}, attempt {sends} on {target}: {outcome}, first event {first_ms} ms, longest "
    "pause {pause_ms} ms, total {total_ms} ms",
    success=True,
)
CALLER_LEFT = LogEvent(
    429,
    Level.INFO,
    "request {request}: the caller disconnected after {after_ms} ms, response begun: {begun}",
)
RECOVERY_BEGAN = LogEvent(
    485, Level.INFO, "target {target} is recovering, as {cause}; one request at a time may be there"
)
RECOVERY_ENDED = LogEvent(
    486,
    Level.INFO,
    "target {target} is in steady state after {after_ms} ms, as {reason}: {in_time} responses in "
    "time, {late} late, {setbacks} rejections or losses, window {window}",
)
COLD_TARGETS_LEFT_OUT = LogEvent(
    487,
    Level.INFO,
    "{targets} cold targets were left out of a placement, as of {placements} since the start",
)
COLD_LIMIT_REACHED = LogEvent(
    488,
    Level.WARNING,
    "request {request} is rejected, as all {targets} targets for it are cold, the first one for "
    "{cold_ms} ms, and take no more from this instance for {retry_after_ms} ms",
    "Look for the reason why so many targets have started at the same time.",
)
TARGET_LISTED = LogEvent(410, Level.INFO, "target {target} of service {service} is listed")
TARGET_UNLISTED = LogEvent(411, Level.INFO, "target {target} is no longer listed")
TARGET_LEAVING = LogEvent(412, Level.INFO, "target {target} is leaving and gets no new requests")
TARGET_PAUSED = LogEvent(
    413, Level.WARNING, "target {target} was lost and gets no new requests for {pause_s} s"
)
SEND_FAILED = LogEvent(
    414,
    Level.WARNING,
    "request {request}, attempt {sends} on {target}: {outcome}, first event {first_ms} ms, longest "
    "pause {pause_ms} ms, total {total_ms} ms, verdict {verdict}, helpers {helpers}, {prompt} "
    "prompt tokens, expected "
    "{expected_ms} ms, {left_ms} ms left, route {route}, routes version {routes}",
)
NOT_PLACED = LogEvent(
    415,
    Level.WARNING,
    "request {request} could not be placed: {reason}; it may be sent again in {retry_after_ms} ms",
)
REPEAT_BUDGET_USED = LogEvent(
    416,
    Level.WARNING,
    "request {request} is not retried: the retry budget is exhausted",
    "Find out which targets fail; callers get an error with a retry time.",
)
REQUEST_NOT_SERVED = LogEvent(
    417,
    Level.WARNING,
    "request {request} failed: {reason}, {message}, response begun: {begun}",
)
LISTING_ENTRY_UNREADABLE = LogEvent(
    418,
    Level.WARNING,
    "entry {key} in the list of targets cannot be decoded: {reason}",
    "Find out who wrote the entry; the other entries are used.",
)
MEMORY_NOT_RESERVED = LogEvent(
    419, Level.WARNING, "request {request}: memory could not be reserved on {targets}"
)
ORDER_UNANSWERED = LogEvent(
    408, Level.WARNING, "target {target} did not respond to the order {order}: {reason}"
)
TARGETS_UNREACHABLE = LogEvent(
    466,
    Level.WARNING,
    "this instance reaches no target: {targets}, of {listed} listed ones, accepted no connection "
    "within {within_ms} ms; the last connection was accepted {accepted_ms} ms ago",
    "Check the network between this instance and the targets. Peers that reach targets run its "
    "requests until then.",
)
TARGETS_REACHABLE = LogEvent(
    467, Level.INFO, "target {target} accepted a connection, after {after_ms} ms without any target"
)
RELAYED = LogEvent(
    468,
    Level.INFO,
    "request {request}, send {sends}: to instance {peer} in zone {zone}, as this one reaches no "
    "target; {left_ms} ms left",
    success=True,
)
RELAY_ENDED = LogEvent(
    469,
    Level.INFO,
    "request {request}, send {sends}: instance {peer}: {outcome} after {total_ms} ms",
    success=True,
)
RELAY_RECEIVED = LogEvent(
    470,
    Level.INFO,
    "request {request} comes from instance {sender}, which reaches no target",
    success=True,
)
PEER_HEARD = LogEvent(420, Level.INFO, "entry instance {peer} in zone {zone} is reachable")
PEER_SILENT = LogEvent(
    421, Level.WARNING, "no message from entry instance {peer} for {silence_s} s"
)
NOTICE_UNREADABLE = LogEvent(
    422, Level.WARNING, "a notice from {sender} cannot be decoded: {reason}"
)
NOTICE_TOO_LARGE = LogEvent(423, Level.ERROR, "a notice of {bytes} bytes is too large to send")
ROUTES_NOT_FETCHED = LogEvent(
    424, Level.WARNING, "routes could not be fetched from entry instance {peer}: {reason}"
)
ROUTES_UNREADABLE = LogEvent(
    425, Level.ERROR, "routes from {source} cannot be decoded: {reason}", "Upgrade this instance."
)
SETTINGS_RELOADED = LogEvent(426, Level.INFO, "the settings file was reloaded")
SETTINGS_REJECTED = LogEvent(
    427,
    Level.ERROR,
    "the settings file is invalid, the current settings are kept: {findings}",
    "Correct the settings file and send SIGHUP.",
)
NOTICE_FAILED = LogEvent(
    453,
    Level.ERROR,
    "a notice {notice} from {sender} could not be applied: {error}",
    "Report this as a bug, with the log. The notice is dropped; the next state of its sender "
    "replaces most of what it said.",
)
REQUEST_FAILED_INTERNALLY = LogEvent(
    500, Level.ERROR, "request {request}: unexpected {error}", "Report this as a bug, with the log."
)
ZONE_EVACUATED = LogEvent(
    480,
    Level.WARNING,
    "zone {zone} is evacuated, as told by {source} for revision {revision}; its targets get no new "
    "requests",
)
ZONE_RETURNED = LogEvent(
    481,
    Level.WARNING,
    "zone {zone} returns to service, as told by {source} for revision {revision}",
)
EVACUATIONS_RETAINED = LogEvent(
    482,
    Level.WARNING,
    "the copy of the store, at revision {revision}, lacks the evacuations of {zones} that were in "
    "force at revision {revision_before}; they stay in force for {left_ms} ms",
    "Write the rows of these evacuations again if they are to go on.",
)
EVACUATION_ROW_IGNORED = LogEvent(
    483,
    Level.ERROR,
    "row {key} evacuates no zone: {reason}",
    "Remove the row, and write one with the name of a zone.",
)
EVACUATIONS_LIMITED = LogEvent(
    484,
    Level.ERROR,
    "the store has {zones} evacuated zones, of which {used} are followed; {first} and the later "
    "ones by name stay in service",
    "Remove the rows of zones that do not exist.",
)
ROUTES_PROVED = LogEvent(
    456,
    Level.INFO,
    "routes version {version} is the newest one by {source} {peer}",
)
ROUTES_PROOF_OLD = LogEvent(
    457,
    Level.WARNING,
    "the last proof that routes version {version} is the newest one is {age_ms} ms old; it was "
    "{source} {peer}",
    "See routes_not_applied, store_unavailable and routes_unconfirmed of this instance.",
)
ROUTES_NOT_APPLIED = LogEvent(
    458,
    Level.WARNING,
    "routes version {version} from {source} is not applied, as {reason}; version "
    "{version_in_force} stays in force",
    "Look at the store or the peer that is named if this instance stays behind the others.",
)
UNREAD_RESPONSE_GIVEN_UP = LogEvent(
    498,
    Level.WARNING,
    "a response of service {service} to {caller} is given up: its caller has read nothing for "
    "{unread_ms} ms while requests are rejected; {blocked} responses of the service wait for their "
    "callers",
    "Look for the caller. Its target is free for others now.",
)
ROUTES_FETCH_SLOW = LogEvent(
    497,
    Level.WARNING,
    "routes version {version} has not arrived from entry instance {peer} after {elapsed_ms} ms; "
    "this instance reads the store beside the fetch",
    "Compare size_bytes of configuration_in_force with the link and the processor of the peer.",
)
SHORTAGE_BEGAN = LogEvent(
    492,
    Level.WARNING,
    "service {service} is short of capacity: {requests} requests have all {slots} slots of its "
    "{targets} usable targets",
    "Compare the demand with the capacity; organisations share it until shortage_ended.",
)
SHORTAGE_ENDED = LogEvent(
    493,
    Level.INFO,
    "service {service} has capacity again; {rejected} requests were rejected in shortages so far",
)
REJECTED_IN_SHORTAGE = LogEvent(
    494,
    Level.WARNING,
    "request {request} of organisation {organisation} is rejected as {reason}: its first event is "
    "expected after {expected_ms} ms within the share, {over_share_ms} ms beyond it, {left_ms} ms "
    "are left; the organisation is charged {charge_ms} ms of {limit_ms} ms, {demanding} "
    "organisations demand service {service}; it may be sent again in {retry_after_ms} ms",
    "See wasabiwell_share_charge_seconds for the organisations with the most work.",
)

CAPACITY_LOWERED = LogEvent(
    490,
    Level.WARNING,
    "{percent}% of {resource} is in use: the capacity told to callers is {advertised} in place of "
    "{nominal} thousandths of a core",
    "None if it ends within a minute. Else add instances, or look for the load of this one.",
)
CAPACITY_RESTORED = LogEvent(
    491,
    Level.INFO,
    "the capacity told to callers is {nominal} thousandths of a core again",
)


def emit(event: LogEvent, **fields: object) -> None:
    """Log an event; the message is formatted only when a handler accepts the record."""
    _LOGGER.log(event.level.value, event.template, extra={"event": event.number}, **fields)


def catalogue() -> list[tuple[str, LogEvent]]:
    """Return all events with their names, sorted by number."""
    events = [(name, value) for name, value in globals().items() if isinstance(value, LogEvent)]
    return sorted(events, key=lambda item: item[1].number)
