"""Follows the platform's membership list."""

import typing

from loguru import logger

from foxtailpick.adapters import base
from foxtailpick.adapters import membership
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import errors
from foxtailpick.core import settings


async def follow_members(
    cfg: settings.MembershipSettings,
    reader: str,
    update: typing.Callable[[list[base.Member]], None],
) -> None:
    """Read the list for ever; while it cannot be read the last one stays.

    :param cfg: where the list is and how often to read it.
    :param reader: name of this process.
    :param update: takes each list that was read.
    """
    adapter = membership.HttpMembershipList.from_url(cfg.url, reader)
    async with adapter as members:
        while True:
            try:
                update(await members.list_members())
            except errors.StoreError as exc:
                logger.warning('MEMBER list not read. {}', exc)
            await clock_lib.sleep_ms(cfg.poll_interval)
