"""Tests of which answers are given up when too many wait to be read."""

from foxtailpick.core.dispatch import unsent_answers
from foxtailpick.gateway import exchange


def test_oldest_answers_are_given_up():
    unsent = unsent_answers.UnsentAnswers()
    size = unsent_answers.MAX_WAITING_BYTES // 4
    for number in range(4):
        assert unsent.add(number, size) == []
    assert unsent.add('new', size) == [0]
    # One that was read frees its memory.
    unsent.discard(2)
    assert unsent.add('next', size) == []
    assert unsent.add('long', 2 * size) == [1, 3]
    # Those that were given up are counted once.
    unsent.discard(0)
    assert unsent.add('more', size) == ['new']


def test_longest_answer_waits_alone():
    unsent = unsent_answers.UnsentAnswers()
    size = exchange.MAX_RESPONSE_BYTES
    assert unsent.add('a', size) == []
    assert unsent.add('b', unsent_answers.MAX_WAITING_BYTES + size) == ['a']
    unsent.discard('b')
    assert unsent.add('c', size) == []
