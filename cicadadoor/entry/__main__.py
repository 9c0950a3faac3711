"""Entry point of `cicadadoor-entry` and `python -m cicadadoor.entry SETTINGS_FILE`."""

import signal
from importlib import import_module


def main() -> None:
    """Ignore SIGHUP until the settings are loaded, then import and run the daemon.

    The default action of SIGHUP ends the process, and importing the daemon's modules
    takes some tenths of a second. The reload service handles the signal later.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import_module('cicadadoor.entry.daemon').main()


if __name__ == '__main__':
    main()
