"""The fencing tokens of one leader's term.

A term has a range of tokens, which is reserved in the state service before any of them is used.
A higher token at one worker makes all earlier commands to that worker void.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dunehold.types import Token

# Tokens that are reserved at a time, when a term begins and whenever it needs more.
RESERVED_TOKENS = 1024


def last_reserved(first: Token) -> Token:
    """The last token of the range that a term reserves when it begins."""
    return Token(first + RESERVED_TOKENS - 1)


@dataclass(slots=True)
class TermTokens:
    """The reserved range of one term.

    Attributes:
        first: the term's first token, by which the term is known.
        last: the last token that is reserved durably.
        highest: the highest token that was used for any worker so far.
    """

    first: Token
    last: Token = field(init=False)
    highest: Token = field(init=False)

    def __post_init__(self) -> None:
        self.last = last_reserved(self.first)
        self.highest = self.first

    def __contains__(self, token: Token) -> bool:
        return self.first <= token <= self.last

    def next_after(self, token: Token) -> Token | None:
        """Return the token that follows; None if it is not reserved."""
        following = Token(token + 1)
        if following > self.last:
            return None
        self.highest = max(self.highest, following)
        return following

    def wanted_last(self) -> Token | None:
        """Return up to which token more should be reserved by now, or None."""
        if self.last - self.highest >= RESERVED_TOKENS // 2:
            return None
        return Token(self.last + RESERVED_TOKENS)
