"""The program `python -m cairndale`: one process of the system, as its settings file says."""

import signal
import sys


def main() -> int:
    """Runs the process and returns its exit status.

    A SIGHUP that comes while the modules are still being loaded would end the process, as it is the
    signal's default: it is noted, and the settings are read again once they can be.
    """
    hangups: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: hangups.append(number))
    from cairndale.process import run  # after the handler: this import takes far longer than it

    return run(lambda: bool(hangups))


if __name__ == "__main__":
    sys.exit(main())
