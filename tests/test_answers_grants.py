"""Proofs that given-up requests keep the tokens they were given."""

from mimosaworks.entities import Key, Workspace, digest_key
from tests.harness import in_turn, wait_until
from tests.harness_entry import CHAT, Entry, chat

SMALL_KEY = 'small-key-0815'
RATE_TOKENS_PER_S = 20.0
BURST_TOKENS = 100.0
TOKENS = 60  # two such requests exceed the burst


async def test_a_request_given_up_at_its_target_keeps_its_tokens(
    entry: Entry,
) -> None:
    await entry.add_engine('e1', '--step-s=0.05')
    await entry.open(
        Workspace('small', RATE_TOKENS_PER_S, BURST_TOKENS),
        Key('small-key', digest_key(SMALL_KEY), 'small'),
    )
    headers = {
        'Authorization': f'Bearer {SMALL_KEY}',
        'Mimosa-Deadline-S': '0.3',
    }

    async def call(turn: int) -> str:
        body = chat(f'{turn}', max_tokens=TOKENS)
        return (await entry.call(CHAT, body, headers=headers)).run

    async def is_given_up() -> bool:
        return await call(0) == 'may-have-run'

    # A bucket starts empty.
    await wait_until(is_given_up)
    assert set(await in_turn(map(call, range(1, 5)))) == {'not-run'}
    assert len(entry.runs()) == 1
