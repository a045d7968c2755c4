"""What tests read of the nodes that they run."""

from unittest import mock

from standins.agency.world import NodeHandle

LOG = '{"event": "lease_taken"}\n{"event": "call_ans'


# Guards against a test that fails as it reads a log while a line is written.
def test_a_line_that_is_being_written_is_left_out() -> None:
    node = NodeHandle(mock.Mock(read_log=lambda: LOG), {})
    assert node.lines() == [{'event': 'lease_taken'}]
