"""Follows the settings file, which may change with a signal or without."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from loguru import logger

from marigoldlift.errors import SettingsError
from marigoldlift.platform.node_settings import NodeSettings, parse_node_settings

__all__ = ('SettingsWatch',)

#: Pause between two looks at the file, in s.
PACE_S = 2.0


class SettingsWatch:
    """Reads the file again and hands changed settings on; a faulty file leaves those in force.

    Attributes:
        wanted: set to look at once, as at the start, since the file may have changed after it was read.
    """

    def __init__(self, path: Path, text: str, changed: Callable[[NodeSettings], None]) -> None:
        """Start with the settings in force.

        Args:
            path: the file.
            text: its content that is in force.
            changed: called with changed settings.
        """
        self.path = path
        self.text = text
        self.changed = changed
        self.wanted = asyncio.Event()
        self.wanted.set()

    async def run(self) -> None:
        """Follow the file until cancelled."""
        while True:
            try:
                async with asyncio.timeout(PACE_S):
                    await self.wanted.wait()
            except TimeoutError:
                self.look()
            else:
                self.wanted.clear()
                self.look()

    def look(self) -> None:
        """Read the file once."""
        try:
            text = self.path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as fault:
            logger.warning('settings not read: {}', fault)
            return
        if text == self.text:
            return
        self.text = text
        try:
            settings = parse_node_settings(text)
        except SettingsError as error:
            logger.error('settings left as they were: {}', error.reason)
            return
        logger.info('settings changed')
        self.changed(settings)
