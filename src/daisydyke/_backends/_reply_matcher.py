"""Assignment of the replies on a connection to its requests."""

from __future__ import annotations

from .._requests._model import Reply
from ..exceptions import ProtocolViolationError
from ._exchange import Exchange

_MAXIMUM_FOREIGN_COUNT = 4


class ReplyMatcher:
    """Decides which replies on one connection belong to its open exchange.

    A foreign reply is one to another request, such as a duplicate. A few of
    them are passed over.
    """

    def __init__(self) -> None:
        """Initialize before the first reply."""
        self._has_matched = False
        self._foreign_count = 0

    @property
    def has_foreign(self) -> bool:
        """Whether a foreign reply was received."""
        return self._foreign_count > 0

    def belongs(self, reply: Reply, exchange: Exchange | None) -> bool:
        """Return whether a reply belongs to the open exchange.

        Parameters:
            exchange: the open exchange; None without one.

        Raises:
            ProtocolViolationError: nothing shows to which request the reply
                belongs, or there were too many foreign ones.
        """
        if exchange is None or self._is_foreign(reply, exchange):
            self._count_foreign()
            return False
        self._has_matched = True
        return True

    def _is_foreign(self, reply: Reply, exchange: Exchange) -> bool:
        if reply.request_id:
            return reply.request_id != exchange.request_id
        if self._has_matched or self._foreign_count:
            raise ProtocolViolationError('reply without a request id')
        return False

    def _count_foreign(self) -> None:
        self._foreign_count += 1
        if self._foreign_count > _MAXIMUM_FOREIGN_COUNT:
            raise ProtocolViolationError('replies to other requests')
