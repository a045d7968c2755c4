"""Bodies of chat and completion answers."""

from typing import Any

import attrs

from standins.engine.sequence import Sequence
from standins.engine.tokens import expected_text, expected_token

CHAT_PATH = '/v1/chat/completions'
COMPLETION_PATH = '/v1/completions'
CHARS_PER_TOKEN = 4
TEXT_KIND = 'text_completion'
FINISHED = 'length'


@attrs.frozen
class Completion:
    """Renders one request's answer; is_chat chooses the shape."""

    sequence: Sequence
    is_chat: bool
    start: int

    def whole(self) -> dict[str, Any]:
        """Return the answer that is not streamed."""
        sequence = self.sequence
        text = expected_text(
            sequence.model,
            sequence.adapter,
            sequence.prompt,
            sequence.count,
            self.start,
        )
        shape: dict[str, Any] = {
            'message': {'role': 'assistant', 'content': text}
        }
        kind = 'chat.completion'
        if not self.is_chat:
            kind, shape = TEXT_KIND, {'text': text}
        return self._answer(kind, shape, FINISHED) | {'usage': self._usage()}

    def chunk(self, index: int) -> dict[str, Any]:
        """Return the streamed chunk of one token."""
        sequence = self.sequence
        text = expected_token(
            sequence.model, sequence.adapter, sequence.prompt, index
        )
        shape: dict[str, Any] = {'delta': {'content': text}}
        kind = 'chat.completion.chunk'
        if not self.is_chat:
            kind, shape = TEXT_KIND, {'text': text}
        finish = FINISHED if index + 1 == sequence.count else None
        return self._answer(kind, shape, finish) | {'index': index}

    def _answer(
        self, kind: str, shape: dict[str, Any], finish: str | None
    ) -> dict[str, Any]:
        choice = {'index': 0, 'finish_reason': finish} | shape
        return {
            'id': self.sequence.request_id,
            'object': kind,
            'model': self.sequence.adapter or self.sequence.model,
            'choices': [choice],
        }

    def _usage(self) -> dict[str, int]:
        prompt_tokens = max(1, len(self.sequence.prompt) // CHARS_PER_TOKEN)
        completion_tokens = self.sequence.count - self.start
        return {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': completion_tokens,
            'total_tokens': prompt_tokens + completion_tokens,
        }
