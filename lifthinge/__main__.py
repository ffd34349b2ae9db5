"""`python -m lifthinge`: one controller on real sockets; with arguments, the command line."""

import signal
import sys

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from lifthinge.cli import main

        main(prog_name="lifthinge")

    hung_up: list[int] = []  # before anything else: a SIGHUP never ends the program
    signal.signal(signal.SIGHUP, lambda number, _: hung_up.append(number))

    from lifthinge.service.run import main

    sys.exit(main(hung_up))
