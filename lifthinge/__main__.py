"""Entry point of `python -m lifthinge`.

Without arguments it runs one controller; with arguments it runs the command line.
"""

import signal
import sys

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from lifthinge.cli import main

        main(prog_name="lifthinge")

    # Set before the slow imports: from the start, a SIGHUP asks to read the configuration again and
    # does not end the program.
    early_hangups: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early_hangups.append(number))

    from lifthinge.service.run import main

    sys.exit(main(early_hangups))
