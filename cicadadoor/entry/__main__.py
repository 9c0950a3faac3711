"""Entry point of `python -m cicadadoor.entry SETTINGS_FILE`."""

from cicadadoor.entry.daemon import main

if __name__ == '__main__':
    main()
