"""Configuration of loguru for daemons and commands."""

import sys

from loguru import logger

from verbenawick.settings._settings import LogSettings

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {extra[node]} {message}"


def configure_logging(settings: LogSettings, *, node_id: str) -> None:
    """Send log events to standard error.

    Parameters
    ----------
    node_id : str
        Added to every record under the key ``node``.
    """
    logger.remove()
    logger.configure(extra={"node": node_id})
    if settings.json_lines:
        logger.add(sys.stderr, level=settings.level, serialize=True)
        return
    logger.add(sys.stderr, level=settings.level, format=TEXT_FORMAT)
