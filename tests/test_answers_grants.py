"""Proofs that given-up requests keep the tokens they were given."""

from mimosaworks.entities import Key, Workspace, digest_key
from tests.harness import in_turn
from tests.harness_entry import CHAT, Entry, chat

SMALL_KEY = 'small-key-0815'
BURST_TOKENS = 100.0
TOKENS = 60  # two such requests exceed the burst


async def test_a_request_given_up_at_its_target_keeps_its_tokens(
    entry: Entry,
) -> None:
    await entry.add_engine('e1', '--step-s=0.05')
    await entry.open(
        Workspace('small', 0.1, BURST_TOKENS),
        Key('small-key', digest_key(SMALL_KEY), 'small'),
    )
    headers = {
        'Authorization': f'Bearer {SMALL_KEY}',
        'Mimosa-Deadline-S': '0.3',
    }
    answers = await in_turn(
        entry.call(CHAT, chat(f'{turn}', max_tokens=TOKENS), headers=headers)
        for turn in range(5)
    )
    assert answers[0].run == 'may-have-run'
    assert {answer.run for answer in answers[1:]} == {'not-run'}
    assert len(entry.runs()) == 1
