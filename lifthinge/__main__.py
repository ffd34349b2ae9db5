"""`python -m lifthinge`: one controller on real sockets."""
import sys

from lifthinge.service.run import main

if __name__ == "__main__":
    sys.exit(main())
