"""`python -m lifthinge`: one controller on real sockets."""
import signal
import sys

if __name__ == "__main__":
    hung_up: list[int] = []     # before anything else: a SIGHUP never ends the program
    signal.signal(signal.SIGHUP, lambda number, _: hung_up.append(number))

    from lifthinge.service.run import main
    sys.exit(main(hung_up))
