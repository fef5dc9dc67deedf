"""Bad behaviours of the model engine stand-in."""

import random
from enum import Enum

import msgspec

from bluebellshore.settings import EngineSettings

__all__ = ["EngineFault", "EngineFaultChange", "FaultPolicy", "Misbehaviour"]

#: A request whose body contains this text crashes any engine.
CRASH_MARKER = b"CRASH-ENGINE"


class EngineFault(Enum):
    """How a bad version behaves."""

    NONE = "none"
    FAIL = "fail"
    SLOW = "slow"
    FAIL_LATER = "fail_later"
    SLOW_LATER = "slow_later"
    FAIL_UNDER_LOAD = "fail_under_load"
    FAIL_ON_ROUTE = "fail_on_route"
    TRUNCATE = "truncate"
    CRASH = "crash"
    CRASH_EXIT = "crash_exit"


class Misbehaviour(Enum):
    """What happens to one request."""

    NONE = "none"
    FAIL = "fail"
    SLOW = "slow"
    TRUNCATE = "truncate"
    CRASH = "crash"
    CRASH_EXIT = "crash_exit"


class EngineFaultChange(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control/faults``; fields left out stay as they are.

    See :class:`~bluebellshore.settings.EngineSettings` for their meaning.

    :param hold_tokens: whether generation pauses before the next token.
    """

    fault: EngineFault | None = None
    fault_route: str | None = None
    fault_after: float | None = None
    fault_after_requests: int | None = None
    fault_load: int | None = None
    fault_share: float | None = None
    slow_factor: float | None = None
    hold_tokens: bool | None = None


_MISBEHAVIOUR_BY_FAULT = {
    EngineFault.NONE: Misbehaviour.NONE,
    EngineFault.FAIL: Misbehaviour.FAIL,
    EngineFault.SLOW: Misbehaviour.SLOW,
    EngineFault.FAIL_LATER: Misbehaviour.FAIL,
    EngineFault.SLOW_LATER: Misbehaviour.SLOW,
    EngineFault.FAIL_UNDER_LOAD: Misbehaviour.FAIL,
    EngineFault.FAIL_ON_ROUTE: Misbehaviour.FAIL,
    EngineFault.TRUNCATE: Misbehaviour.TRUNCATE,
    EngineFault.CRASH: Misbehaviour.CRASH,
    EngineFault.CRASH_EXIT: Misbehaviour.CRASH_EXIT,
}


class FaultPolicy:
    """Decides which requests a bad version spoils.

    Late faults count seconds and requests from the last change of the fault.

    :ivar holds_tokens: whether generation pauses before the next token.
    """

    def __init__(self, settings: EngineSettings, now: float):
        self._rng = random.Random(settings.seed)
        self._settings = settings
        self._fault = EngineFault(settings.fault)
        self._since = now
        self._requests = 0
        self.holds_tokens = False

    @property
    def slow_factor(self) -> float:
        """Return the factor on all times of a slow request."""
        return self._settings.slow_factor

    def change(self, change: EngineFaultChange, now: float) -> None:
        """Change the fields that `change` names."""
        values = msgspec.structs.asdict(change)
        holds_tokens = values.pop("hold_tokens")
        if holds_tokens is not None:
            self.holds_tokens = holds_tokens
        for name, value in values.items():
            if value is not None:
                plain = value.value if isinstance(value, EngineFault) else value
                setattr(self._settings, name, plain)
        self._fault = EngineFault(self._settings.fault)
        self._since = now
        self._requests = 0

    def decide(
        self, body: bytes, route: str, concurrent: int, now: float
    ) -> Misbehaviour:
        """Return how the engine treats one request.

        :param concurrent: requests that the engine holds, this one included.
        """
        self._requests += 1
        if CRASH_MARKER in body:
            return Misbehaviour.CRASH
        if not self._shows(route, concurrent, now):
            return Misbehaviour.NONE
        return _MISBEHAVIOUR_BY_FAULT[self._fault]

    def _shows(self, route: str, concurrent: int, now: float) -> bool:
        settings = self._settings
        if now - self._since < settings.fault_after:
            return False
        if self._requests <= settings.fault_after_requests:
            return False
        if self._fault is EngineFault.FAIL_ON_ROUTE and route != settings.fault_route:
            return False
        if self._fault is EngineFault.FAIL_UNDER_LOAD:
            threshold = settings.fault_load or settings.capacity // 2
            if concurrent < threshold:
                return False
        return self._rng.random() < settings.fault_share
