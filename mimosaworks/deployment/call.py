"""What a caller declares about one request."""

import attrs


@attrs.frozen
class PromptPart:
    """Part of a prompt; parts with the same id have the same tokens."""

    part_id: str
    tokens: int


@attrs.frozen
class RequestProfile:
    """The declared model and size of a request; zeros for a plain service.

    tokens_in is the size of the prompt, tokens_out the largest number of
    generated tokens, tokens_hint the caller's estimate of it (0 without one).
    """

    model: str = ''
    adapter: str = ''
    tokens_in: int = 0
    tokens_out: int = 0
    tokens_hint: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def declared_tokens(self) -> int:
        """Tokens that are charged for the request; 0 when not declared."""
        return self.tokens_in + self.tokens_out

    @property
    def expected_tokens_out(self) -> int:
        """Tokens that will probably be generated."""
        return self.tokens_hint or self.tokens_out
