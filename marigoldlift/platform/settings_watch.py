"""Watches the settings file for changes, whether or not a signal announces them."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from loguru import logger

from marigoldlift.errors import SettingsError
from marigoldlift.platform.node_settings import NodeSettings, parse_node_settings

__all__ = ('SettingsWatcher',)

#: Interval at which the file is checked, in s.
POLL_INTERVAL_S = 2.0


class SettingsWatcher:
    """Rereads the file and passes changed settings on; an invalid file leaves the current settings in force.

    Attributes:
        text: content of the file when it was last read.
        check_requested: set to check the file immediately. It is set at the start, because the file may have changed
            since its first content was read.
    """

    def __init__(self, path: Path, text: str, on_change: Callable[[NodeSettings], None]) -> None:
        """Start with the current settings.

        Args:
            path: path of the settings file.
            text: content of the file from which the current settings were parsed.
            on_change: called with the new settings after each change.
        """
        self.path = path
        self.text = text
        self.on_change = on_change
        self.check_requested = asyncio.Event()
        self.check_requested.set()

    async def run(self) -> None:
        """Check the file periodically and on request, until cancelled."""
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
        """Read the file once and pass its settings on if they changed and are valid."""
        try:
            text = self.path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as fault:
            logger.warning('settings file cannot be read: {}', fault)
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
