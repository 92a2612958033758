"""The program. A SIGHUP that comes while it is still being loaded ends no process: it is kept for
later."""

import signal
import sys


def main() -> int:
    hangups: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: hangups.append(number))
    from cairndale.process import run  # takes far longer than all before

    return run(lambda: bool(hangups))


if __name__ == "__main__":
    sys.exit(main())
