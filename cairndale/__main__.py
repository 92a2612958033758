"""The program `python -m cairndale`: runs one process of the system by its settings file."""

import signal
import sys


def main() -> int:
    """Run the process and return its exit status.

    The default action of SIGHUP would end the process while its modules are still being imported.
    Such a signal is recorded instead, and the settings are read again later.
    """
    hangups: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: hangups.append(number))
    from cairndale.process import run  # after the handler is installed: this import takes long

    return run(lambda: bool(hangups))


if __name__ == "__main__":
    sys.exit(main())
