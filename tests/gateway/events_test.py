"""The log of errors that no handler caught."""

import asyncio
from unittest.mock import patch

from umbermoor.gateway.server import events


def logged_events(exception: BaseException) -> list[str]:
    loop = asyncio.new_event_loop()
    try:
        events.watch(loop)
        with patch.object(events, "event") as event:
            loop.call_exception_handler({"message": "in a callback", "exception": exception})
        return [call.args[0] for call in event.call_args_list]
    finally:
        loop.close()


def test_uncaught_error_is_logged_but_cancelled_task_is_not():
    assert logged_events(ValueError("broken")) == ["unhandled_exception"]
    assert logged_events(asyncio.CancelledError()) == []
