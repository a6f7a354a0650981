"""Polls the platform's membership list."""

import typing

from loguru import logger

from foxtailpick.adapters import base
from foxtailpick.adapters import membership
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import errors
from foxtailpick.core import settings


async def poll_members(
    cfg: settings.MembershipSettings,
    reader: str,
    on_list: typing.Callable[[list[base.Member]], None],
    on_failure: typing.Callable[[str], None] | None = None,
) -> None:
    """Poll the list until cancelled, and skip the update if a read fails.

    :param cfg: URL of the list and poll interval.
    :param reader: name of this process.
    :param on_list: called with each list that was read.
    :param on_failure: called with the cause of each failed read.
    """
    is_read = True
    adapter = membership.HttpMembershipList.from_url(cfg.url, reader)
    async with adapter as members:
        while True:
            try:
                on_list(await members.list_members())
                is_read = True
            except errors.StoreError as exc:
                if is_read:
                    logger.warning('MEMBER list not read. {}', exc)
                is_read = False
                if on_failure is not None:
                    on_failure(str(exc))
            await clock_lib.sleep_ms(cfg.poll_interval)
