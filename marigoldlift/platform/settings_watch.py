"""Follows the settings file, which may change with a signal or without."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from loguru import logger

from marigoldlift.errors import SettingsError
from marigoldlift.platform.node_settings import NodeSettings, parse_node_settings

__all__ = ('SettingsWatcher',)

#: Pause between two looks at the file, in s.
POLL_INTERVAL_S = 2.0


class SettingsWatcher:
    """Reads the file again and hands changed settings on; a faulty file leaves those in force.

    Attributes:
        check_requested: set to look at once, as at the start, since the file may have changed after it was read.
    """

    def __init__(self, path: Path, text: str, on_change: Callable[[NodeSettings], None]) -> None:
        """Start with the settings in force.

        Args:
            path: the file.
            text: its content that is in force.
            on_change: called with changed settings.
        """
        self.path = path
        self.text = text
        self.on_change = on_change
        self.check_requested = asyncio.Event()
        self.check_requested.set()

    async def run(self) -> None:
        """Follow the file until cancelled."""
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self.check_requested.wait()
            except TimeoutError:
                self.check_file()
            else:
                self.check_requested.clear()
                self.check_file()

    def check_file(self) -> None:
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
        self.on_change(settings)
