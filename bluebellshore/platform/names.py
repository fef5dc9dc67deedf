"""Header names, table names and row keys of the platform."""

__all__ = [
    "ATTEMPT_HEADER",
    "CONFIGURATION_KEY",
    "DEADLINE_HEADER",
    "EVACUATION_PREFIX",
    "EVENT_ID_HEADER",
    "EXPECTED_SERVER_HEADER",
    "KEY_HEADER",
    "LEAVING_HEADER",
    "MODEL_HEADER",
    "NOT_RUN_HEADER",
    "OPERATOR_TABLE",
    "RESERVED_HEADERS",
    "PRIORITY_HEADER",
    "PROMPT_HEADER",
    "RATE_LIMIT_HEADER",
    "ROLLOUT_ORDER_PREFIX",
    "SERVERS_TABLE",
    "SIGNATURE_HEADER",
    "TENANT_HEADER",
    "TOKENS_HEADER",
    "rollout_status_key",
]

#: The caller's id of its request. Retries by a router keep it, and backend servers echo
#: it.
ATTEMPT_HEADER = "X-Attempt-Id"
#: Time that the caller, or a router, still waits for the answer.
DEADLINE_HEADER = "X-Deadline-Ms"
#: API key of a customer.
KEY_HEADER = "X-Api-Key"
#: Name of the customer; routers set it on requests to backend servers.
TENANT_HEADER = "X-Tenant"
#: Id of the backend server that is meant to answer; another one refuses the request.
EXPECTED_SERVER_HEADER = "X-Expected-Runner"
#: Present on the refusal of a request that was not run.
NOT_RUN_HEADER = "X-Not-Executed"
#: Marks an answer as the backend server's own, rather than an intermediary's.
SIGNATURE_HEADER = "X-Runner-Signature"
MODEL_HEADER = "X-Model"
#: Number of prompt tokens and limit of output tokens, comma-separated.
TOKENS_HEADER = "X-Token-Usage"
#: Parts of the prompt that servers may have cached, comma-separated ``id:tokens``.
PROMPT_HEADER = "X-Prompt-Prefix"
#: Priority of a request to a backend server, 0 (most urgent) to 9.
PRIORITY_HEADER = "X-Request-Priority"
#: Requests a second that a backend server takes from all routers together.
RATE_LIMIT_HEADER = "Server-Limit"
#: ``1`` in the answers of a backend server that is shutting down.
LEAVING_HEADER = "Server-Leaving"
#: Id of the last event received, at which a stream is resumed.
EVENT_ID_HEADER = "Last-Event-Id"

#: Headers, in lower case, that aren't forwarded from callers: only routers and backend
#: servers may set them.
RESERVED_HEADERS = frozenset(
    {
        "x-tenant",
        "x-api-key",
        "x-expected-runner",
        "x-expected-version",
        "x-request-priority",
        "x-cache-retention",
        "x-cache-pin-ms",
        "x-kv-backup",
        "x-deadline-ms",
        "x-not-executed",
        "x-runner-id",
        "x-runner-signature",
        "kv-from",
        "kv-fetch",
    }
)

#: Table with the configuration and the rollout orders, written by the operator.
OPERATOR_TABLE = "op"
#: Table in which backend servers register themselves.
SERVERS_TABLE = "servers"
CONFIGURATION_KEY = "op/config"
#: Followed by the name of a service.
ROLLOUT_ORDER_PREFIX = "op/rollout/"
#: Followed by the name of an availability zone. While the row exists, nothing new is
#: sent to the backend servers of the zone.
EVACUATION_PREFIX = "op/evacuate/"


def rollout_status_key(service: str) -> str:
    """Return the key of the row that reports a service's rollout to the operator."""
    return f"status/rollout/{service}"
