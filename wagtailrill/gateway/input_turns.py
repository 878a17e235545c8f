"""Shares the event loop between connections that send more than a turn's input."""

import asyncio
from collections import deque
from typing import Protocol

from .const import TURNS_MAX, TURNS_TIME_S


class TurnTaker(Protocol):
    """A connection whose further input waits."""

    def take_turn(self) -> None:
        """Handle a bounded part of the input."""
        ...


class InputTurns:
    """Connections whose input waits, in the order in which they get their turns.

    Few turns are taken in each iteration of the event loop, so that connections whose
    requests fit into one read are served between them.
    """

    def __init__(self) -> None:
        self._waiting: deque[TurnTaker] = deque()
        self._is_scheduled = False

    def enqueue(self, taker: TurnTaker) -> None:
        """Let a connection take a turn when those before it have had theirs."""
        self._waiting.append(taker)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        loop = asyncio.get_running_loop()
        end_s = loop.time() + TURNS_TIME_S
        for _ in range(min(TURNS_MAX, len(self._waiting))):
            self._waiting.popleft().take_turn()
            if loop.time() >= end_s:
                break
        if self._waiting:
            self._schedule()
