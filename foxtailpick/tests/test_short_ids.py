"""Tests of the bound on ids that callers choose."""

from foxtailpick.core.dispatch import short_ids


def test_usual_id_is_kept_as_it_is():
    for value in ('', '9c41d07be2a35f68', 'x' * short_ids.MAX_ID_CHARS):
        assert short_ids.shorten(value) == value


def test_long_ids_stay_different():
    long = 'x' * 60_000
    ids = {short_ids.shorten(f'{long}{number}') for number in range(100)}
    assert len(ids) == 100
    assert max(map(len, ids)) <= short_ids.MAX_ID_CHARS
    # Each router shortens an id in the same way.
    assert short_ids.shorten(f'{long}7') in ids
    assert short_ids.shorten(min(ids)) == min(ids)
