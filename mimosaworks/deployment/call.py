"""What a caller says of one request."""

import attrs


@attrs.frozen
class PromptPart:
    """One part of a prompt; parts with the same id have the same tokens."""

    part: str
    tokens: int


@attrs.frozen
class CallFacts:
    """The declared size and model of a request; zeros for a plain call.

    tokens_in counts the prompt, tokens_out is the most that is generated,
    tokens_hint the caller's estimate of it (0 without one).
    """

    model: str = ''
    adapter: str = ''
    tokens_in: int = 0
    tokens_out: int = 0
    tokens_hint: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def declared_tokens(self) -> int:
        """Tokens that the request is charged with; 0 when not declared."""
        return self.tokens_in + self.tokens_out

    @property
    def expected_out(self) -> int:
        """Tokens that are likely to be generated."""
        return self.tokens_hint or self.tokens_out
