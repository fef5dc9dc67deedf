"""Headers and row keys of the platform."""

__all__ = [
    "ATTEMPT_HEADER",
    "CONFIGURATION_KEY",
    "DEADLINE_HEADER",
    "EVENT_ID_HEADER",
    "EXPECTED_SERVER_HEADER",
    "KEY_HEADER",
    "MODEL_HEADER",
    "NOT_RUN_HEADER",
    "OPERATOR_TABLE",
    "RESERVED_HEADERS",
    "PRIORITY_HEADER",
    "PROMPT_HEADER",
    "ROLLOUT_ORDER_PREFIX",
    "SERVERS_TABLE",
    "SIGNATURE_HEADER",
    "TENANT_HEADER",
    "TOKENS_HEADER",
    "rollout_status_key",
]

ATTEMPT_HEADER = "X-Attempt-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
KEY_HEADER = "X-Api-Key"
#: Name of the customer; set on the way to a backend server.
TENANT_HEADER = "X-Tenant"
EXPECTED_SERVER_HEADER = "X-Expected-Runner"
#: Marks an answer whose request was not run.
NOT_RUN_HEADER = "X-Not-Executed"
SIGNATURE_HEADER = "X-Runner-Signature"
MODEL_HEADER = "X-Model"
#: Prompt tokens and most output tokens, comma-separated.
TOKENS_HEADER = "X-Token-Usage"
#: Parts of the prompt, comma-separated ``id:tokens``.
PROMPT_HEADER = "X-Prompt-Prefix"
#: 0 to 9 towards backend servers, 0 is first.
PRIORITY_HEADER = "X-Request-Priority"
EVENT_ID_HEADER = "Last-Event-Id"

#: Headers, in lower case, that callers may not set: the fleet sets them or none does.
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

OPERATOR_TABLE = "op"
SERVERS_TABLE = "servers"
CONFIGURATION_KEY = "op/config"
ROLLOUT_ORDER_PREFIX = "op/rollout/"


def rollout_status_key(service: str) -> str:
    """Return the key of the row that tells how a service's rollout stands."""
    return f"status/rollout/{service}"
